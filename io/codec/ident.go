package codec

import (
	"github.com/google/uuid"

	"persimmonstage/core/ident"
	"persimmonstage/io/wire"
)

// EncodeIdent returns the protobuf form of an ident; an incarnation that is a UUID is encoded in 16 bytes.
func EncodeIdent(id ident.Ident) *wire.Ident {
	out := &wire.Ident{Name: id.Name, Incarnation: []byte(id.Incarnation)}
	if u, err := uuid.Parse(id.Incarnation); err == nil && u.String() == id.Incarnation {
		out.Incarnation = u[:]
	}
	return out
}

// DecodeIdent returns the ident of its protobuf form.
func DecodeIdent(w *wire.Ident) ident.Ident {
	id := ident.Ident{Name: w.GetName(), Incarnation: string(w.GetIncarnation())}
	if u, err := uuid.FromBytes(w.GetIncarnation()); err == nil {
		id.Incarnation = u.String()
	}
	return id
}

func encodeIdents(ids []ident.Ident) []*wire.Ident {
	out := make([]*wire.Ident, len(ids))
	for i, id := range ids {
		out[i] = EncodeIdent(id)
	}
	return out
}

func decodeIdents(ids []*wire.Ident) []ident.Ident {
	out := make([]ident.Ident, len(ids))
	for i, id := range ids {
		out[i] = DecodeIdent(id)
	}
	return out
}
