package rules

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

// Anyone is the operator's name when no token is required.
const Anyone = "anyone"

// CallerAllowed reports whether token authorises a caller for the team; tokens are compared in constant time.
func (r *Rules) CallerAllowed(teamName, token string) bool {
	if r.access("callers") == accessOpen {
		return true
	}
	hash := sha256.Sum256([]byte(token[:min(len(token), maxTokenBytes)]))
	match := 0
	for _, h := range r.team(teamName).hashes {
		match |= subtle.ConstantTimeCompare(h[:], hash[:])
	}
	return match == 1 && len(token) <= maxTokenBytes
}

// Operator returns the name of the operator with this token; with open access, an unknown token gives Anyone.
func (r *Rules) Operator(token string) (string, bool) {
	hash := sha256.Sum256([]byte(token[:min(len(token), maxTokenBytes)]))
	found := -1
	for i, o := range r.operators {
		found = subtle.ConstantTimeSelect(subtle.ConstantTimeCompare(o.hash[:], hash[:]), i, found)
	}
	switch {
	case found >= 0 && len(token) <= maxTokenBytes:
		return r.operators[found].name, true
	case r.access("operators") == accessOpen:
		return Anyone, true
	}
	return "", false
}

// CallersOpen reports whether callers need no token.
func (r *Rules) CallersOpen() bool { return r.access("callers") == accessOpen }

func (r *Rules) access(key string) string {
	value, _ := r.doc.Value(keyAccess, key)
	s, _ := value.(string)
	return s
}

// HashToken returns the SHA-256 hash of a token in hexadecimal, as the configuration stores it.
func HashToken(token string) string {
	hash := sha256.Sum256([]byte(token))
	return hex.EncodeToString(hash[:])
}
