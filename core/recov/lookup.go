package recov

import (
	"slices"
	"time"

	"persimmonstage/core/ident"
	"persimmonstage/core/ledger"
)

// Verdict is what is known of a job.
type Verdict uint8

// The verdicts.
const (
	Wait         Verdict = iota // ask again
	NeverStarted                // no earlier owner has started any task, nor ever will
	Found                       // agents have started the tasks listed
	Unknown                     // an agent that can't be heard may have started it: never start, never say "not run"
)

// Outcome is the answer for one job.
type Outcome struct {
	Verdict  Verdict
	Digest   ledger.Digest // of the content, if Found
	Tasks    []Task        // the tasks started, if Found, in the order of their index
	Complete bool          // if Found: no other task has been started; else the others are unknown
}

// Lookup tells what earlier owners have done of a job that this owner doesn't know; issued is the time that the caller of the
// job gave.
func (r *Recovery) Lookup(now time.Time, team, id string, issued time.Time) Outcome {
	if r.Settled() {
		return Outcome{Verdict: NeverStarted}
	}
	at := key{team, id}
	sure := r.sure(at)
	patient := !r.Fenced() || now.Before(r.fenced.Add(r.cfg.AnswerTimeout))
	if job := r.jobs[at]; job != nil {
		if !sure && patient {
			return Outcome{Verdict: Wait}
		}
		tasks := slices.SortedFunc(slices.Values(job.tasks), func(a, b Task) int { return int(a.Index) - int(b.Index) })
		return Outcome{Verdict: Found, Digest: job.digest, Tasks: tasks, Complete: sure}
	}
	switch {
	case sure || r.later(issued):
		return Outcome{Verdict: NeverStarted}
	case patient:
		return Outcome{Verdict: Wait}
	}
	return Outcome{Verdict: Unknown}
}

func (r *Recovery) heardAll(agents []ident.Ident) bool {
	for _, agent := range agents {
		if !r.union[agent] {
			return false
		}
	}
	return true
}

// later reports whether a job was issued so late that no earlier owner can have accepted it while an agent obeyed it.
func (r *Recovery) later(issued time.Time) bool {
	return !r.fenced.IsZero() && issued.After(r.fenced.Add(2*r.cfg.Skew))
}
