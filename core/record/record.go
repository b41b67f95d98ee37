package record

import (
	"encoding/json"
	"strings"
	"time"
)

// Messages of log lines that are evaluated.
const (
	JobTaken      = "job taken"
	JobEnded      = "job ended"
	AttemptEnded  = "attempt ended"
	TaskMoved     = "task moved"
	TargetState   = "target state"
	QueueNotFound = "queue not found"
	EntryStarted  = "entry started"
	AgentStarted  = "agent started"
	EntryStopping = "entry stopping"
	AgentStopping = "agent stopping"
)

// Record is one log line; fields of the wrong type count as missing.
type Record struct {
	At      time.Time
	Role    string
	Name    string // of the process
	Message string
	Fields  map[string]any
}

// Parse parses a line and reports whether it is a log line; text before the JSON object is ignored.
func Parse(text string) (Record, bool) {
	_, object, found := strings.Cut(text, "{")
	if !found {
		return Record{}, false
	}
	r := Record{Fields: map[string]any{}}
	if json.Unmarshal([]byte("{"+object), &r.Fields) != nil {
		return Record{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, r.Text("time"))
	if err != nil {
		return Record{}, false
	}
	r.At, r.Role, r.Name, r.Message = at, r.Text("role"), r.Text("name"), r.Text("message")
	return r, true
}

// Text returns a field, empty if it is missing.
func (r *Record) Text(key string) string {
	s, _ := r.Fields[key].(string)
	return s
}

// Int returns a field, 0 if it is missing.
func (r *Record) Int(key string) int {
	n, _ := r.Fields[key].(float64)
	return int(n)
}

// Bool returns a field, false if it is missing.
func (r *Record) Bool(key string) bool {
	b, _ := r.Fields[key].(bool)
	return b
}

// Milliseconds returns a field in milliseconds as a duration, 0 if it is missing.
func (r *Record) Milliseconds(key string) time.Duration {
	return time.Duration(r.Int(key)) * time.Millisecond
}
