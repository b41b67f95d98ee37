package ident

import "strings"

// Ident identifies one incarnation of an entry or an agent; it is comparable, and the zero value identifies no process.
type Ident struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
}

// IsZero reports whether the ident is the zero value.
func (i Ident) IsZero() bool { return i == Ident{} }

// String returns name/incarnation.
func (i Ident) String() string { return i.Name + "/" + i.Incarnation }

// Compare orders by name, then by incarnation.
func (i Ident) Compare(o Ident) int {
	if c := strings.Compare(i.Name, o.Name); c != 0 {
		return c
	}
	return strings.Compare(i.Incarnation, o.Incarnation)
}
