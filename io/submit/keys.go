package submit

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// The decoder takes a key in other case for the key and the last of two equal ones, so that a caller's mistake would pass
// unseen. One look at the quotes finds the keys; the text of a payload is skipped, not read.

// keyBits numbers the keys of a submission at all its levels; the decoder has checked which key stands at which.
var keyBits = map[string]uint{
	"id": 0, "team": 1, "kind": 2, "issued": 3, "deadline": 4, "tasks": 5,
	"payload": 6, "needs": 7,
	"slots": 8, "cores": 9, "memory-mb": 10, "accelerators": 11,
}

// checkKeys refuses a key in other case and a key that stands twice in its object; body is one valid JSON value.
func checkKeys(body []byte) error {
	var seen []uint16 // the keys of each open object
	for i := 0; i < len(body); i++ {
		switch body[i] {
		case '{':
			seen = append(seen, 0)
		case '}':
			seen = seen[:len(seen)-1]
		case '"':
			end := stringEnd(body, i)
			if isKey(body[end:]) {
				if err := noteKey(body, i, end, &seen[len(seen)-1]); err != nil {
					return err
				}
			}
			i = end - 1
		}
	}
	return nil
}

// stringEnd returns the place behind the closing quote of the string that begins at i.
func stringEnd(body []byte, i int) int {
	for {
		i += 1 + bytes.IndexByte(body[i+1:], '"')
		slashes := 0
		for body[i-1-slashes] == '\\' {
			slashes++
		}
		if slashes%2 == 0 {
			return i + 1
		}
	}
}

// isKey reports whether a string is a key, from what follows it.
func isKey(rest []byte) bool {
	rest = bytes.TrimLeft(rest, " \t\r\n")
	return len(rest) > 0 && rest[0] == ':'
}

// noteKey enters the key between two places into those of its object.
func noteKey(body []byte, from, to int, seen *uint16) error {
	name := body[from+1 : to-1]
	if bytes.IndexByte(name, '\\') >= 0 {
		var plain string
		// The decoder has read the same string, so that it has a value.
		_ = json.Unmarshal(body[from:to], &plain)
		name = []byte(plain)
	}
	bit, ok := keyBits[string(name)]
	if !ok {
		return &Error{field: string(name), reason: "unknown key", status: statusMalformed}
	}
	if *seen&(1<<bit) != 0 {
		return &Error{
			field: string(name), status: statusMalformed,
			reason: fmt.Sprintf("line %d: the key stands twice in its object", lineOf(body, int64(to))),
		}
	}
	*seen |= 1 << bit
	return nil
}
