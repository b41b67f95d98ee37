package trace

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Trace gathers the lines that concern one job; New makes it.
type Trace struct {
	id     string
	lines  []line
	starts []line // starts and stops of processes
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

// Messages and fields that the trace goes by.
const (
	jobTaken     = "job taken"
	jobEnded     = "job ended"
	entryStarted = "entry started"
	agentStarted = "agent started"
	entryStop    = "entry stopping"
	agentStop    = "agent stopping"
)

// New returns an empty trace of the job called id.
func New(id string) *Trace { return &Trace{id: id} }

// Add takes a log line, with or without a prefix before its JSON object; what isn't one is passed over.
func (t *Trace) Add(text string) {
	_, object, found := strings.Cut(text, "{")
	if !found {
		return
	}
	fields := map[string]any{}
	if json.Unmarshal([]byte("{"+object), &fields) != nil {
		return
	}
	l := line{role: word(fields, "role"), name: word(fields, "name"), message: word(fields, "message"), fields: fields}
	at, err := time.Parse(time.RFC3339Nano, word(fields, "time"))
	if err != nil {
		return
	}
	l.at = at
	if l.at.After(t.last) {
		t.last = l.at
	}
	switch {
	case word(fields, "id") == t.id, strings.HasPrefix(word(fields, "task"), t.id+"."):
		t.lines = append(t.lines, l)
	case l.message == entryStarted, l.message == agentStarted, l.message == entryStop, l.message == agentStop:
		t.starts = append(t.starts, l)
	}
}

func word(fields map[string]any, key string) string {
	s, _ := fields[key].(string)
	return s
}

func number(fields map[string]any, key string) int {
	n, _ := fields[key].(float64)
	return int(n)
}

// Lines returns the story, a line an event in the order of time, with the milliseconds since the first.
func (t *Trace) Lines() []string {
	t.sort()
	var out []string
	for _, l := range t.lines {
		out = append(out, fmt.Sprintf("%7d ms  %s  %s%s", l.at.Sub(t.lines[0].at).Milliseconds(), l.name, l.message, l.rest()))
	}
	return out
}

func (t *Trace) sort() {
	slices.SortStableFunc(t.lines, func(a, b line) int { return a.at.Compare(b.at) })
	slices.SortStableFunc(t.starts, func(a, b line) int { return a.at.Compare(b.at) })
}

// rest renders the fields that aren't the line's frame, by name.
func (l *line) rest() string {
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

// Cause returns why the job ended as it did, in one line.
func (t *Trace) Cause() string {
	t.sort()
	if len(t.lines) == 0 {
		return "no process wrote a line about it: no request with this id was read, or its lines were dropped"
	}
	var end *line
	for i := range t.lines {
		if t.lines[i].message == jobEnded {
			end = &t.lines[i]
		}
	}
	if end == nil {
		return t.cutShort()
	}
	return t.ended(end)
}

// cutShort tells why a job that was taken has no end.
func (t *Trace) cutShort() string {
	last := t.lines[len(t.lines)-1]
	for _, l := range t.lines {
		if l.message == jobTaken {
			last = l
		}
	}
	for _, s := range t.starts {
		if s.name == last.name && s.at.After(last.at) {
			return fmt.Sprintf("%s ended without a word while it had the job, and started again %d ms later",
				last.name, s.at.Sub(last.at).Milliseconds())
		}
	}
	return fmt.Sprintf("%s has written nothing about it for the last %d ms of the logs: it died, stands still, or works on it",
		last.name, t.last.Sub(last.at).Milliseconds())
}

func (t *Trace) ended(end *line) string {
	f := end.fields
	took, tasks, done := number(f, "took-ms"), number(f, "tasks"), number(f, "done")
	switch word(f, "fate") {
	case "done":
		if objective := number(f, "objective-ms"); took > objective {
			return fmt.Sprintf("answered in %d ms, after its objective of about %d ms%s", took, objective, t.delays())
		}
		return fmt.Sprintf("answered in %d ms, in time", took)
	case "refused":
		return t.refused(end)
	case "failed":
		return fmt.Sprintf("a task failed as often as it may%s", t.failures())
	case "unfinished":
		if word(f, "reason") == "too-long" {
			return fmt.Sprintf("given up after %d ms, as a task would have run past the deadline%s", took, open(f))
		}
		return fmt.Sprintf("%d of %d tasks had ended at the deadline%s%s", done, tasks, open(f), t.delays())
	case "cancelled":
		if word(f, "reason") == "caller-left" {
			return fmt.Sprintf("the caller left after %d ms", took)
		}
		return fmt.Sprintf("the caller withdrew it after %d ms", took)
	}
	return "ended as " + word(f, "fate")
}

func (t *Trace) refused(end *line) string {
	f := end.fields
	switch word(f, "reason") {
	case "overload":
		return fmt.Sprintf("refused: no target had room for %d ms, with %d%% of %d targets' cores taken",
			number(f, "waited-ms"), number(f, "load-percent"), number(f, "agents"))
	case "no-target":
		return "refused: the entry knew no target of the queue's service"
	case "too-large":
		return "refused: a task takes more than any target holds"
	}
	return "refused: " + word(f, "reason")
}

func open(f map[string]any) string {
	list, _ := f["open"].([]any)
	if len(list) == 0 {
		return ""
	}
	return fmt.Sprintf("; open at %v (target@pace)", list)
}

// failures names where attempts failed.
func (t *Trace) failures() string {
	var at []string
	for _, l := range t.lines {
		if l.message == "attempt ended" && word(l.fields, "how") == "failed" {
			at = append(at, word(l.fields, "agent"))
		}
	}
	if len(at) == 0 {
		return ""
	}
	return ": at " + strings.Join(at, ", ")
}

// delays counts the ends of attempts that had to be followed by another.
func (t *Trace) delays() string {
	n := map[string]int{}
	var order []string
	for _, l := range t.lines {
		if l.message == "attempt ended" {
			how := word(l.fields, "how")
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
