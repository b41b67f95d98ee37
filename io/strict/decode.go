package strict

import (
	"bytes"
	"regexp"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"persimmonstage/core/cfgerr"
	"persimmonstage/core/lines"
)

// Error says what is wrong with one key of a settings file, and where.
type Error = cfgerr.Error

var mismatch = regexp.MustCompile(`^cannot (?:decode TOML|store an?) (\S+) in(?:to)?(?: a)? (.*)$`)

// Decode reads the TOML data of file into a struct; an unknown key, a wrong type or bad syntax is an *Error.
func Decode(file string, data []byte, into any) error {
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	if err == nil {
		return nil
	}
	return locate(file, data, err)
}

// Load is Decode followed by a check, which names the key that is wrong and why; an empty key means that all is well.
func Load(file string, data []byte, into any, check func() (key, reason string)) error {
	if err := Decode(file, data, into); err != nil {
		return err
	}
	if key, reason := check(); key != "" {
		return ErrorAt(file, data, key, reason)
	}
	return nil
}

// ErrorAt returns the *Error for a key of file, on the line that sets it or the table that should hold it; the top level, which
// holds a key without a table, begins on line 1.
func ErrorAt(file string, data []byte, key, reason string) *Error {
	line := max(1, lines.NewIndex(data).Line(strings.Split(key, ".")...))
	return cfgerr.New(file, line, key, reason)
}

func locate(file string, data []byte, err error) error {
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) && len(missing.Errors) > 0 {
		return fromDecode(file, data, &missing.Errors[0], "unknown key")
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		return fromDecode(file, data, decode, reason(decode))
	}
	return cfgerr.New(file, 0, "", strings.TrimPrefix(err.Error(), "toml: "))
}

func fromDecode(file string, data []byte, err *toml.DecodeError, reason string) error {
	line, _ := err.Position()
	key := err.Key()
	if len(key) > 0 {
		if at := lines.NewIndex(data).Line(key...); at > 0 {
			line = at
		}
	}
	return cfgerr.New(file, line, lines.Dotted(key), reason)
}

func reason(err *toml.DecodeError) string {
	text := strings.TrimPrefix(err.Error(), "toml: ")
	m := mismatch.FindStringSubmatch(text)
	if m == nil {
		return text
	}
	return "wrong type: " + article(m[1]) + " where " + wanted(m[2]) + " is wanted"
}

func wanted(goType string) string {
	if _, of, ok := strings.Cut(goType, " of type "); ok && !strings.HasPrefix(goType, "struct {") {
		goType = of
	}
	switch {
	case strings.HasPrefix(goType, "struct"), strings.HasPrefix(goType, "map["):
		return "a table"
	case strings.HasPrefix(goType, "[]"):
		return "an array"
	case goType == "bool":
		return "a boolean"
	case goType == "string":
		return "a string"
	case strings.HasPrefix(goType, "float"):
		return "a number"
	case strings.HasPrefix(goType, "int"), strings.HasPrefix(goType, "uint"):
		return "an integer"
	}
	return "another type"
}

func article(kind string) string {
	kind = strings.ToLower(kind)
	if strings.ContainsRune("aeiou", rune(kind[0])) {
		return "an " + kind
	}
	return "a " + kind
}
