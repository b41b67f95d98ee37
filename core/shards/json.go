package shards

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"persimmonstage/core/ident"
	"persimmonstage/core/member"
)

type document struct {
	Version int64           `json:"version,omitempty"`
	Base    int64           `json:"base"`
	ID      string          `json:"id"`
	Members []member.Member `json:"members"`
	Shards  []documentSlot  `json:"shards"`
	Open    []UnsealedMap   `json:"open,omitempty"`
	Ended   []ident.Ident   `json:"ended,omitempty"`
}

type documentSlot struct {
	Epoch       uint64 `json:"epoch"`
	Owner       string `json:"owner"`
	Incarnation string `json:"incarnation"`
}

// MarshalJSON returns the record of the map; a proposal has no version yet, as it is assigned by the log.
func (m *Map) MarshalJSON() ([]byte, error) {
	doc := document{Version: m.version, Base: m.base, ID: m.id, Members: m.members, Open: m.unsealed, Ended: m.ended}
	for _, s := range m.slots {
		doc.Shards = append(doc.Shards, documentSlot{s.epoch, s.owner.Name, s.owner.Incarnation})
	}
	return json.Marshal(doc)
}

// UnmarshalJSON decodes and validates a record; it returns an *Error for an invalid field.
func (m *Map) UnmarshalJSON(data []byte) error {
	var doc document
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&doc); err != nil {
		return errors.Wrap(err, "shard map")
	}
	read := Map{version: doc.Version, base: doc.Base, id: doc.ID, members: doc.Members, unsealed: doc.Open, ended: doc.Ended}
	for _, s := range doc.Shards {
		owner := ident.Ident{Name: s.Owner, Incarnation: s.Incarnation}
		read.slots = append(read.slots, slot{epoch: s.Epoch, owner: owner})
	}
	if err := read.check(); err != nil {
		return err
	}
	*m = read
	return nil
}
