package submit

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// encoding/json ignores the case of keys and keeps the last of duplicate keys, so it would hide a caller's mistake. The scan
// below finds keys by their quotes and skips the text of payloads.

// keyBits maps every key of a submission, at any level, to a bit; the decoder has checked that each is at its level.
var keyBits = map[string]uint{
	"id": 0, "team": 1, "kind": 2, "issued": 3, "deadline": 4, "tasks": 5,
	"payload": 6, "needs": 7,
	"slots": 8, "cores": 9, "memory-mb": 10, "accelerators": 11,
}

// checkKeys rejects keys in the wrong case and duplicate keys of an object; body must be one valid JSON value.
func checkKeys(body []byte) error {
	var seen []uint16 // for each open object, the keys seen so far
	for i := 0; i < len(body); i++ {
		switch body[i] {
		case '{':
			seen = append(seen, 0)
		case '}':
			seen = seen[:len(seen)-1]
		case '"':
			end := stringEnd(body, i)
			if isKey(body[end:]) {
				if err := recordKey(body, i, end, &seen[len(seen)-1]); err != nil {
					return err
				}
			}
			i = end - 1
		}
	}
	return nil
}

// stringEnd returns the index after the closing quote of the string that begins at i.
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

// isKey reports whether a string is an object's key, given the text after it.
func isKey(rest []byte) bool {
	rest = bytes.TrimLeft(rest, " \t\r\n")
	return len(rest) > 0 && rest[0] == ':'
}

// recordKey adds the key at body[from:to] to the seen keys of its object; a duplicate is an error.
func recordKey(body []byte, from, to int, seen *uint16) error {
	name := body[from+1 : to-1]
	if bytes.IndexByte(name, '\\') >= 0 {
		var plain string
		// The decoder has accepted the same string, so this can't fail.
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
