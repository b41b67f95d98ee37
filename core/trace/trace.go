package trace

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"persimmonstage/core/record"
)

// Trace collects the log lines about one job; create it with New.
type Trace struct {
	id     string
	lines  []record.Record
	starts []record.Record // starts and stops of all processes
	last   time.Time
}

// New returns an empty trace of the job with the given id.
func New(id string) *Trace { return &Trace{id: id} }

// Add adds a log line if it concerns the job; a prefix before the JSON object is ignored, as are lines without one.
func (t *Trace) Add(text string) {
	l, ok := record.Parse(text)
	if !ok {
		return
	}
	if l.At.After(t.last) {
		t.last = l.At
	}
	switch {
	case l.Text("id") == t.id, strings.HasPrefix(l.Text("task"), t.id+"."):
		t.lines = append(t.lines, l)
	case l.Message == record.EntryStarted, l.Message == record.AgentStarted, l.Message == record.EntryStopping, l.Message == record.AgentStopping:
		t.starts = append(t.starts, l)
	}
}

// Lines returns the job's events in order of time, one a line, with the milliseconds since the first.
func (t *Trace) Lines() []string {
	t.sort()
	var out []string
	for _, l := range t.lines {
		out = append(out, fmt.Sprintf("%7d ms  %s  %s%s", l.At.Sub(t.lines[0].At).Milliseconds(), l.Name, l.Message, details(&l)))
	}
	return out
}

func (t *Trace) sort() {
	slices.SortStableFunc(t.lines, func(a, b record.Record) int { return a.At.Compare(b.At) })
	slices.SortStableFunc(t.starts, func(a, b record.Record) int { return a.At.Compare(b.At) })
}

// details renders the fields that are specific to the message, sorted by name.
func details(l *record.Record) string {
	var b strings.Builder
	keys := make([]string, 0, len(l.Fields))
	for k := range l.Fields {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, cmp.Compare[string])
	for _, k := range keys {
		switch k {
		case "time", "level", "role", "name", "message", "id":
			continue
		}
		if value, err := json.Marshal(l.Fields[k]); err == nil {
			fmt.Fprintf(&b, " %s=%s", k, strings.Trim(string(value), `"`))
		}
	}
	return b.String()
}

// Cause explains in one line how and why the job ended.
func (t *Trace) Cause() string {
	t.sort()
	if len(t.lines) == 0 {
		return "no process logged anything about it: no request with this id was read, or its log lines were dropped"
	}
	var end *record.Record
	for i := range t.lines {
		if t.lines[i].Message == record.JobEnded {
			end = &t.lines[i]
		}
	}
	if end == nil {
		return t.explainNoEnd()
	}
	return t.explainEnd(end)
}

// explainNoEnd explains why an accepted job has no end.
func (t *Trace) explainNoEnd() string {
	last := t.lines[len(t.lines)-1]
	if last.Message == record.QueueNotFound {
		return explainUnknown(&last)
	}
	for _, l := range t.lines {
		if l.Message == record.JobTaken {
			last = l
		}
	}
	for _, s := range t.starts {
		if s.Name == last.Name && s.At.After(last.At) {
			return fmt.Sprintf("%s terminated without logging the end of the job, and restarted %d ms later",
				last.Name, s.At.Sub(last.At).Milliseconds())
		}
	}
	return fmt.Sprintf("%s logged nothing about it in the last %d ms of the logs: it died, hangs, or is still working on it",
		last.Name, t.last.Sub(last.At).Milliseconds())
}

// explainUnknown explains the refusal of a request for a host and path that no queue has.
func explainUnknown(l *record.Record) string {
	retry := ""
	if confirmed, _ := l.Fields["confirmed"].(bool); !confirmed {
		retry = ", to be tried again"
	}
	text := fmt.Sprintf("refused%s: configuration %d, which came from %s, has no queue for %s%s", retry, l.Int("configuration"), l.Text("source"),
		l.Text("host"), l.Text("path"))
	if _, ok := l.Fields["confirmed-ms"]; !ok {
		return text + "; the store had never confirmed it as the newest"
	}
	return fmt.Sprintf("%s; the store had confirmed it as the newest %d ms before", text, l.Int("confirmed-ms"))
}

func (t *Trace) explainEnd(end *record.Record) string {
	took, tasks, done := end.Int("took-ms"), end.Int("tasks"), end.Int("done")
	switch end.Text("fate") {
	case "done":
		if objective := end.Int("objective-ms"); took > objective {
			return fmt.Sprintf("answered in %d ms, after its objective of about %d ms%s", took, objective, t.delays())
		}
		return fmt.Sprintf("answered in %d ms, in time", took)
	case "refused":
		return t.explainRefusal(end)
	case "failed":
		if end.Text("reason") == "crashes-targets" {
			return fmt.Sprintf("a task crashed the targets that started it%s", t.agentsWhere("crashed"))
		}
		return fmt.Sprintf("a task failed in every permitted attempt%s", t.agentsWhere("failed"))
	case "unfinished":
		switch end.Text("reason") {
		case "too-long":
			return fmt.Sprintf("given up after %d ms, as a task would have run past the deadline%s", took, openTasks(end))
		case "confined":
			return fmt.Sprintf("given up after %d ms, as its queue crashes targets, and most of those that are left to it are down%s", took, t.delays())
		case "no-target":
			return fmt.Sprintf("given up after %d ms, as the entry had lost all targets and nothing of it ran any more%s", took, t.delays())
		}
		return fmt.Sprintf("%d of %d tasks had ended at the deadline%s%s", done, tasks, openTasks(end), t.delays())
	case "cancelled":
		if end.Text("reason") == "caller-left" {
			return fmt.Sprintf("the caller left after %d ms", took)
		}
		return fmt.Sprintf("the caller withdrew it after %d ms", took)
	}
	return "ended as " + end.Text("fate")
}

func (t *Trace) explainRefusal(end *record.Record) string {
	switch end.Text("reason") {
	case "overload":
		return fmt.Sprintf("refused: no target had room for %d ms, with %d%% of %d targets' cores taken",
			end.Int("waited-ms"), end.Int("load-percent"), end.Int("agents"))
	case "no-target":
		return "refused: the entry knew no target of the queue's service"
	case "too-large":
		return "refused: a task takes more than any target holds"
	case "confined":
		return "refused: its queue crashes targets, and those that are left to it are down"
	}
	return "refused: " + end.Text("reason")
}

func openTasks(end *record.Record) string {
	list, _ := end.Fields["open"].([]any)
	if len(list) == 0 {
		return ""
	}
	return fmt.Sprintf("; open at %v (target@pace)", list)
}

// agentsWhere lists the agents at which attempts ended in one way.
func (t *Trace) agentsWhere(how string) string {
	var at []string
	for _, l := range t.lines {
		if l.Message == record.AttemptEnded && l.Text("how") == how && !slices.Contains(at, l.Text("agent")) {
			at = append(at, l.Text("agent"))
		}
	}
	if len(at) == 0 {
		return ""
	}
	return ": at " + strings.Join(at, ", ")
}

// delays counts, by kind of end, the attempts that had to be repeated.
func (t *Trace) delays() string {
	n := map[string]int{}
	var order []string
	for _, l := range t.lines {
		if l.Message == record.AttemptEnded {
			how := l.Text("how")
			if n[how] == 0 {
				order = append(order, how)
			}
			n[how]++
		}
	}
	if len(order) == 0 {
		return ""
	}
	parts := make([]string, 0, len(order))
	for _, how := range order {
		parts = append(parts, fmt.Sprintf("%d %s", n[how], how))
	}
	return "; attempts that were lost: " + strings.Join(parts, ", ")
}
