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

// Error describes an error in one key of a settings file, and its location.
type Error = cfgerr.Error

var typeMismatch = regexp.MustCompile(`^cannot (?:decode TOML|store an?) (\S+) in(?:to)?(?: a)? (.*)$`)

// Decode reads the TOML data of file into a struct; an unknown key, a wrong type or a syntax error gives an *Error.
func Decode(file string, data []byte, into any) error {
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	if err == nil {
		return nil
	}
	return locate(file, data, err)
}

// Load calls Decode and then check, which returns the invalid key and the reason, or an empty key if all are valid.
func Load(file string, data []byte, into any, check func() (key, reason string)) error {
	if err := Decode(file, data, into); err != nil {
		return err
	}
	if key, reason := check(); key != "" {
		return ErrorAt(file, data, key, reason)
	}
	return nil
}

// ErrorAt returns the *Error for a key of file, on the line of the key or else of its table, or on line 1 for a missing
// top-level key.
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
	m := typeMismatch.FindStringSubmatch(text)
	if m == nil {
		return text
	}
	return "wrong type: " + article(m[1]) + " where " + expectedType(m[2]) + " is wanted"
}

func expectedType(goType string) string {
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
