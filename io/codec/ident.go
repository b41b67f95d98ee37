package codec

import (
	"github.com/google/uuid"

	"persimmonstage/core/ident"
	"persimmonstage/io/wire"
)

// IdentOut gives the wire form of an ident; an incarnation that is a UUID takes 16 bytes.
func IdentOut(id ident.Ident) *wire.Ident {
	out := &wire.Ident{Name: id.Name, Incarnation: []byte(id.Incarnation)}
	if u, err := uuid.Parse(id.Incarnation); err == nil && u.String() == id.Incarnation {
		out.Incarnation = u[:]
	}
	return out
}

// IdentIn reads the wire form of an ident.
func IdentIn(w *wire.Ident) ident.Ident {
	id := ident.Ident{Name: w.GetName(), Incarnation: string(w.GetIncarnation())}
	if u, err := uuid.FromBytes(w.GetIncarnation()); err == nil {
		id.Incarnation = u.String()
	}
	return id
}

func identsOut(ids []ident.Ident) []*wire.Ident {
	out := make([]*wire.Ident, len(ids))
	for i, id := range ids {
		out[i] = IdentOut(id)
	}
	return out
}

func identsIn(ids []*wire.Ident) []ident.Ident {
	out := make([]ident.Ident, len(ids))
	for i, id := range ids {
		out[i] = IdentIn(id)
	}
	return out
}
