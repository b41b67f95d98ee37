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

// parse decodes body, which must be a single JSON value; unknown and duplicate keys are errors.
func parse(body []byte, r *request) error {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(r); err != nil {
		return decodeError(body, err)
	}
	if _, err := d.Token(); err != io.EOF {
		return &Error{field: "body", reason: "more than one JSON value", status: statusMalformed}
	}
	return checkKeys(body)
}

func decodeError(body []byte, err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return typeError(body, wrongType)
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

func typeError(body []byte, err *json.UnmarshalTypeError) error {
	field := err.Field
	if field == "" {
		field = "body"
	}
	return &Error{
		field: field, status: statusMalformed, reason: fmt.Sprintf("line %d: %s where %s is expected",
			lineOf(body, err.Offset), withArticle(err.Value), withArticle(jsonName(err.Type))),
	}
}

// lineOf returns the 1-based line of the byte before offset.
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

func withArticle(word string) string {
	if strings.ContainsRune("aeio", rune(word[0])) {
		return "an " + word
	}
	return "a " + word
}
