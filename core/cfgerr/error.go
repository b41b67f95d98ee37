package cfgerr

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Error says what is wrong with one key of a settings document, and where.
type Error struct {
	file   string
	line   int
	key    string
	reason string
}

// New returns the Error for key at the 1-based line of file; an empty key or a line of 0 means unknown.
func New(file string, line int, key, reason string) *Error {
	return &Error{file: file, line: line, key: key, reason: reason}
}

// File returns the name of the document.
func (e *Error) File() string { return e.file }

// Line returns the 1-based line, or 0 when no line holds the fault.
func (e *Error) Line() int { return e.line }

// Key returns the dotted key, or "" when the fault has none, as in bad syntax.
func (e *Error) Key() string { return e.key }

// Reason returns what is wrong and, for a value out of range, the limit.
func (e *Error) Reason() string { return e.reason }

// Error renders the fault as "file:line: key: reason", leaving out the parts that are unknown.
func (e *Error) Error() string {
	s := e.file
	if e.line > 0 {
		s = fmt.Sprintf("%s:%d", s, e.line)
	}
	if e.key != "" {
		s += ": " + e.key
	}
	return strings.TrimPrefix(s+": "+e.reason, ": ")
}

type jsonError struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Key    string `json:"key"`
	Reason string `json:"reason"`
}

// MarshalJSON renders the fields under the names file, line, key and reason.
func (e *Error) MarshalJSON() ([]byte, error) {
	return json.Marshal(jsonError{File: e.file, Line: e.line, Key: e.key, Reason: e.reason})
}

// UnmarshalJSON reads what MarshalJSON wrote.
func (e *Error) UnmarshalJSON(data []byte) error {
	var j jsonError
	if err := json.Unmarshal(data, &j); err != nil {
		return err
	}
	*e = Error{file: j.File, line: j.Line, key: j.Key, reason: j.Reason}
	return nil
}
