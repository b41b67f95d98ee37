package cfgerr

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Error describes an error in one key of a settings document, and its location.
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

// Line returns the 1-based line, or 0 when it is unknown.
func (e *Error) Line() int { return e.line }

// Key returns the dotted key, or "" when the error has none, as with a syntax error.
func (e *Error) Key() string { return e.key }

// Reason returns the cause of the error and, for a value out of range, the limit.
func (e *Error) Reason() string { return e.reason }

// Error returns "file:line: key: reason" without the unknown parts.
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

// MarshalJSON encodes the fields as file, line, key and reason.
func (e *Error) MarshalJSON() ([]byte, error) {
	return json.Marshal(jsonError{File: e.file, Line: e.line, Key: e.key, Reason: e.reason})
}

// UnmarshalJSON decodes the output of MarshalJSON.
func (e *Error) UnmarshalJSON(data []byte) error {
	var j jsonError
	if err := json.Unmarshal(data, &j); err != nil {
		return err
	}
	*e = Error{file: j.File, line: j.Line, key: j.Key, reason: j.Reason}
	return nil
}
