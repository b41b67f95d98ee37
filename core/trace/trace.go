package trace

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Trace collects the log lines about one job; create it with New.
type Trace struct {
	id     string
	lines  []line
	starts []line // starts and stops of all processes
	last   time.Time
}

// line is one log line.
type line struct {
	at      time.Time
	role    string
	name    string
	message string
	fields  map[string]any
}

// Messages of the log lines that the trace evaluates.
const (
	jobTaken      = "job taken"
	jobEnded      = "job ended"
	entryStarted  = "entry started"
	agentStarted  = "agent started"
	entryStopping = "entry stopping"
	agentStopping = "agent stopping"
)

// New returns an empty trace of the job with the given id.
func New(id string) *Trace { return &Trace{id: id} }

// Add adds a log line if it concerns the job; a prefix before the JSON object is ignored, as are lines without one.
func (t *Trace) Add(text string) {
	_, object, found := strings.Cut(text, "{")
	if !found {
		return
	}
	fields := map[string]any{}
	if json.Unmarshal([]byte("{"+object), &fields) != nil {
		return
	}
	l := line{
		role: stringField(fields, "role"), name: stringField(fields, "name"), message: stringField(fields, "message"), fields: fields,
	}
	at, err := time.Parse(time.RFC3339Nano, stringField(fields, "time"))
	if err != nil {
		return
	}
	l.at = at
	if l.at.After(t.last) {
		t.last = l.at
	}
	switch {
	case stringField(fields, "id") == t.id, strings.HasPrefix(stringField(fields, "task"), t.id+"."):
		t.lines = append(t.lines, l)
	case l.message == entryStarted, l.message == agentStarted, l.message == entryStopping, l.message == agentStopping:
		t.starts = append(t.starts, l)
	}
}

func stringField(fields map[string]any, key string) string {
	s, _ := fields[key].(string)
	return s
}

func intField(fields map[string]any, key string) int {
	n, _ := fields[key].(float64)
	return int(n)
}

// Lines returns the job's events in order of time, one a line, with the milliseconds since the first.
func (t *Trace) Lines() []string {
	t.sort()
	var out []string
	for _, l := range t.lines {
		out = append(out, fmt.Sprintf("%7d ms  %s  %s%s", l.at.Sub(t.lines[0].at).Milliseconds(), l.name, l.message, l.details()))
	}
	return out
}

func (t *Trace) sort() {
	slices.SortStableFunc(t.lines, func(a, b line) int { return a.at.Compare(b.at) })
	slices.SortStableFunc(t.starts, func(a, b line) int { return a.at.Compare(b.at) })
}

// details renders the fields that are specific to the message, sorted by name.
func (l *line) details() string {
	var b strings.Builder
	keys := make([]string, 0, len(l.fields))
	for k := range l.fields {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, cmp.Compare[string])
	for _, k := range keys {
		switch k {
		case "time", "level", "role", "name", "message", "id":
			continue
		}
		if value, err := json.Marshal(l.fields[k]); err == nil {
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
	var end *line
	for i := range t.lines {
		if t.lines[i].message == jobEnded {
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
	for _, l := range t.lines {
		if l.message == jobTaken {
			last = l
		}
	}
	for _, s := range t.starts {
		if s.name == last.name && s.at.After(last.at) {
			return fmt.Sprintf("%s terminated without logging the end of the job, and restarted %d ms later",
				last.name, s.at.Sub(last.at).Milliseconds())
		}
	}
	return fmt.Sprintf("%s logged nothing about it in the last %d ms of the logs: it died, hangs, or is still working on it",
		last.name, t.last.Sub(last.at).Milliseconds())
}

func (t *Trace) explainEnd(end *line) string {
	f := end.fields
	took, tasks, done := intField(f, "took-ms"), intField(f, "tasks"), intField(f, "done")
	switch stringField(f, "fate") {
	case "done":
		if objective := intField(f, "objective-ms"); took > objective {
			return fmt.Sprintf("answered in %d ms, after its objective of about %d ms%s", took, objective, t.delays())
		}
		return fmt.Sprintf("answered in %d ms, in time", took)
	case "refused":
		return t.explainRefusal(end)
	case "failed":
		return fmt.Sprintf("a task failed in every permitted attempt%s", t.failures())
	case "unfinished":
		if stringField(f, "reason") == "too-long" {
			return fmt.Sprintf("given up after %d ms, as a task would have run past the deadline%s", took, openTasks(f))
		}
		return fmt.Sprintf("%d of %d tasks had ended at the deadline%s%s", done, tasks, openTasks(f), t.delays())
	case "cancelled":
		if stringField(f, "reason") == "caller-left" {
			return fmt.Sprintf("the caller left after %d ms", took)
		}
		return fmt.Sprintf("the caller withdrew it after %d ms", took)
	}
	return "ended as " + stringField(f, "fate")
}

func (t *Trace) explainRefusal(end *line) string {
	f := end.fields
	switch stringField(f, "reason") {
	case "overload":
		return fmt.Sprintf("refused: no target had room for %d ms, with %d%% of %d targets' cores taken",
			intField(f, "waited-ms"), intField(f, "load-percent"), intField(f, "agents"))
	case "no-target":
		return "refused: the entry knew no target of the queue's service"
	case "too-large":
		return "refused: a task takes more than any target holds"
	}
	return "refused: " + stringField(f, "reason")
}

func openTasks(f map[string]any) string {
	list, _ := f["open"].([]any)
	if len(list) == 0 {
		return ""
	}
	return fmt.Sprintf("; open at %v (target@pace)", list)
}

// failures lists the agents at which attempts failed.
func (t *Trace) failures() string {
	var at []string
	for _, l := range t.lines {
		if l.message == "attempt ended" && stringField(l.fields, "how") == "failed" {
			at = append(at, stringField(l.fields, "agent"))
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
		if l.message == "attempt ended" {
			how := stringField(l.fields, "how")
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
