package submit

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"
)

// parse reads the one JSON value of a body; unknown and doubled keys are errors.
func parse(body []byte, r *request) error {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(r); err != nil {
		return malformed(body, err)
	}
	if _, err := d.Token(); err != io.EOF {
		return &Error{field: "body", reason: "more than one JSON value", status: statusMalformed}
	}
	return checkKeys(body)
}

func malformed(body []byte, err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return mistyped(body, wrongType)
	}
	const unknown = "json: unknown field "
	if name, ok := strings.CutPrefix(err.Error(), unknown); ok {
		return &Error{field: strings.Trim(name, `"`), reason: "unknown key", status: statusMalformed}
	}
	line, text := lineOf(body, int64(len(body))), err.Error()
	var syntax *json.SyntaxError
	switch {
	case errors.As(err, &syntax):
		line = lineOf(body, syntax.Offset)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		text = "unexpected end of JSON input"
	}
	return &Error{field: "body", reason: fmt.Sprintf("line %d: not valid JSON: %s", line, text), status: statusMalformed}
}

func mistyped(body []byte, err *json.UnmarshalTypeError) error {
	field := err.Field
	if field == "" {
		field = "body"
	}
	return &Error{
		field: field, status: statusMalformed, reason: fmt.Sprintf("line %d: %s where %s is expected",
			lineOf(body, err.Offset), article(err.Value), article(jsonName(err.Type))),
	}
}

// lineOf gives the 1-based line of the byte before offset.
func lineOf(body []byte, offset int64) int {
	return 1 + bytes.Count(body[:min(max(offset-1, 0), int64(len(body)))], []byte{'\n'})
}

func jsonName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct:
		return "object"
	case reflect.Slice:
		return "array"
	case reflect.Int:
		return "integer"
	default:
		return t.Kind().String()
	}
}

func article(word string) string {
	if strings.ContainsRune("aeio", rune(word[0])) {
		return "an " + word
	}
	return "a " + word
}
