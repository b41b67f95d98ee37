package audit

import (
	"encoding/json"
	"time"

	"persimmonstage/core/delta"
)

// Entry is one version of the configuration: who published it, when by the publisher's clock, and its changes.
type Entry struct {
	version int64
	id      string
	author  string
	when    time.Time
	changes []delta.Change
	undo    []delta.Change
}

// New returns the Entry of a version; undo holds the changes that restore the previous version.
func New(version int64, id, author string, when time.Time, changes, undo []delta.Change) Entry {
	return Entry{version: version, id: id, author: author, when: when, changes: changes, undo: undo}
}

// Version returns the version, which is the offset of its record in the log.
func (e Entry) Version() int64 { return e.version }

// ID returns the id that the publisher gave to its record.
func (e Entry) ID() string { return e.id }

// Author returns the operator's name.
func (e Entry) Author() string { return e.author }

// When returns the time of publication by the publisher's clock.
func (e Entry) When() time.Time { return e.when }

// Changes returns the changes from the previous version.
func (e Entry) Changes() []delta.Change { return e.changes }

// Undo returns the changes that restore the previous version.
func (e Entry) Undo() []delta.Change { return e.undo }

// entryOverhead is the size of the fixed fields of an entry, in bytes.
const entryOverhead = 200

// Size returns the estimated memory use of the entry in bytes.
func (e Entry) Size() int {
	n := entryOverhead
	for _, list := range [][]delta.Change{e.changes, e.undo} {
		for _, c := range list {
			n += len(c.Name()) + len(c.Literal())
		}
	}
	return n
}

type jsonEntry struct {
	Version int64          `json:"version"`
	ID      string         `json:"id"`
	Author  string         `json:"author"`
	When    time.Time      `json:"when"`
	Changes []delta.Change `json:"changes"`
	Undo    []delta.Change `json:"undo"`
}

// MarshalJSON encodes all fields.
func (e Entry) MarshalJSON() ([]byte, error) {
	return json.Marshal(jsonEntry{
		Version: e.version, ID: e.id, Author: e.author, When: e.when, Changes: e.changes, Undo: e.undo,
	})
}

// UnmarshalJSON decodes the output of MarshalJSON.
func (e *Entry) UnmarshalJSON(data []byte) error {
	var j jsonEntry
	if err := json.Unmarshal(data, &j); err != nil {
		return err
	}
	*e = New(j.Version, j.ID, j.Author, j.When, j.Changes, j.Undo)
	return nil
}
