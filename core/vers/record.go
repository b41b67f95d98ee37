package vers

import (
	"encoding/json"
	"strconv"
	"time"

	"persimmonstage/core/audit"
	"persimmonstage/core/delta"
)

// Record types; a reader ignores all others.
const (
	typeChange   = "change"
	typeSnapshot = "snapshot"
	typeUpdate   = "update"
)

// record is the JSON form of records in the log (change, snapshot) and of states sent between peers (snapshot, update).
type record struct {
	Type   string    `json:"type"`
	ID     string    `json:"id"`
	Author string    `json:"author,omitempty"`
	When   time.Time `json:"when"`
	// Sum is the checksum of the resulting document, in hexadecimal.
	Sum string `json:"sum"`

	// Base and either Changes or Document are set in a change.
	Base    int64          `json:"base,omitempty"`
	Changes []delta.Change `json:"changes,omitempty"`
	// Document is the whole document in TOML.
	Document *string `json:"document,omitempty"`

	// Version is the version in force after all records up to the offset After.
	Version int64 `json:"version,omitempty"`
	After   int64 `json:"after,omitempty"`
	// LastAfter and LastWhen are the After and When of the newest snapshot in the log.
	LastAfter int64         `json:"last-after,omitempty"`
	LastWhen  time.Time     `json:"last-when,omitzero"`
	Entries   []audit.Entry `json:"entries,omitempty"`
	// From is the version to which an update's Entries are applied.
	From int64 `json:"from,omitempty"`
}

func decode(data []byte) (record, error) {
	var r record
	err := json.Unmarshal(data, &r)
	return r, err
}

func (r record) encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // every field has an encoding
	}
	return data
}

func sumText(sum uint64) string { return strconv.FormatUint(sum, 16) }
