package recov

import (
	"slices"
	"time"

	"persimmonstage/core/ident"
	"persimmonstage/core/ledger"
)

// Verdict is the result of a lookup.
type Verdict uint8

// The verdicts.
const (
	Wait         Verdict = iota // look up again later
	NeverStarted                // no earlier owner has started any task, nor ever will
	Found                       // agents have started the tasks listed
	Unknown                     // an unreachable agent may have started it: never start it, never answer "not run"
)

// Outcome is the recovered state of one job.
type Outcome struct {
	Verdict  Verdict
	Digest   ledger.Digest // of the job's content, if Found
	Tasks    []Task        // the tasks started, if Found, in the order of their index
	Complete bool          // if Found: no other task has been started; else the others are unknown
}

// Lookup returns what earlier owners have started of a job that this owner has no record of; issued is the caller's time of
// issue of the job.
func (r *Recovery) Lookup(now time.Time, team, id string, issued time.Time) Outcome {
	if r.Settled() {
		return Outcome{Verdict: NeverStarted}
	}
	at := key{team, id}
	complete := r.complete(at)
	waiting := !r.Fenced() || now.Before(r.fenced.Add(r.cfg.AnswerTimeout))
	if job := r.jobs[at]; job != nil {
		if !complete && waiting {
			return Outcome{Verdict: Wait}
		}
		tasks := slices.SortedFunc(slices.Values(job.tasks), func(a, b Task) int { return int(a.Index) - int(b.Index) })
		return Outcome{Verdict: Found, Digest: job.digest, Tasks: tasks, Complete: complete}
	}
	switch {
	case complete || r.issuedAfterFence(issued):
		return Outcome{Verdict: NeverStarted}
	case waiting:
		return Outcome{Verdict: Wait}
	}
	return Outcome{Verdict: Unknown}
}

func (r *Recovery) allAnswered(agents []ident.Ident) bool {
	for _, agent := range agents {
		if !r.agents[agent] {
			return false
		}
	}
	return true
}

// issuedAfterFence reports whether a job was issued too late for an earlier owner to have started it on any agent.
func (r *Recovery) issuedAfterFence(issued time.Time) bool {
	return !r.fenced.IsZero() && issued.After(r.fenced.Add(2*r.cfg.Skew))
}
