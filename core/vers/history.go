package vers

import (
	"slices"
	"time"

	"persimmonstage/core/audit"
	"persimmonstage/core/delta"
	"persimmonstage/core/fold"
)

// The log's order is the only judge: a change whose base isn't the version in force at its offset is void for every
// reader, so two operators who race are told apart without a lock and without a clock. A version is the offset of its
// record, hence never used twice, and a second copy of a record (an append repeated after its answer was lost) is void
// by the same rule.
//
// A snapshot says which version was in force after a given offset, not at its own: records that came between its
// writer's last read and its append are replayed on top of it, so a reader that starts there agrees with one that has
// read everything. A reader that has lost records (Skip) waits for a snapshot whose offset it can still read on from.

const (
	maxEntries    = 1000
	maxEntryBytes = 8 << 20
	maxTail       = 32
	maxTailBytes  = 64 << 10
	maxVoids      = 1024
)

// voided remembers a record that lost, so that its publisher can be told.
type voided struct {
	id      string
	current int64
}

// History is the configuration as one reader of the log knows it; the zero value has read nothing.
type History struct {
	version int64
	doc     fold.Document
	read    int64 // offset of the last record that is accounted for
	state   int   // of the chart
	first   int64 // while records are missing: the oldest offset that could be read
	asOf    int64 // while records are missing: the value of read that the version in force belongs to

	entries    []audit.Entry
	entryBytes int
	voids      []voided

	lastAfter int64 // of the newest snapshot in the log
	lastWhen  time.Time
	diverged  int
}

// Version returns the version in force here, or 0 before the first.
func (h *History) Version() int64 { return h.version }

// Document returns the document in force.
func (h *History) Document() fold.Document { return h.doc }

// Next returns the offset of the record to apply next.
func (h *History) Next() int64 { return h.read + 1 }

// Complete is false while records are known to be missing, until a snapshot or a peer fills the gap.
func (h *History) Complete() bool { return h.state == stateUnknown || h.inForce() }

// Diverged counts snapshots and updates whose checksum differed from the document here; it stays 0 unless a program errs.
func (h *History) Diverged() int { return h.diverged }

// Skip tells that the records before first are lost; the version in force stays until a snapshot replaces it.
func (h *History) Skip(first int64) {
	if first <= h.Next() {
		return
	}
	h.raise(onSkip)
	h.first = first
	h.read = first - 1
}

// accounted returns the offset up to which records are reflected in the version in force.
func (h *History) accounted() int64 {
	if h.Complete() {
		return h.read
	}
	return h.asOf
}

// Apply takes the record at the offset Next and returns whether the version in force changed; others are ignored.
func (h *History) Apply(offset int64, data []byte) bool {
	if offset != h.Next() {
		return false
	}
	h.read = offset
	r, err := decode(data)
	if err != nil {
		return false
	}
	switch r.Type {
	case typeChange:
		return h.change(offset, r)
	case typeSnapshot:
		return h.snapshot(r)
	}
	return false
}

func (h *History) change(offset int64, r record) bool {
	if !h.Complete() {
		return false
	}
	if h.lastWhen.IsZero() {
		h.lastWhen = r.When
	}
	if r.Base != h.version {
		h.void(r.ID)
		return false
	}
	doc, err := h.result(r)
	if err != nil || sumText(doc.Sum()) != r.Sum {
		h.void(r.ID)
		return false
	}
	changes := h.doc.Diff(doc)
	h.remember(audit.New(offset, r.ID, r.Author, r.When, changes, doc.Diff(h.doc)))
	h.doc = doc
	h.version = offset
	h.raise(onChange)
	return true
}

func (h *History) result(r record) (fold.Document, error) {
	if r.Document != nil {
		return fold.Parse("", []byte(*r.Document))
	}
	return h.doc.Apply(r.Changes)
}

func (h *History) snapshot(r record) bool {
	if h.Complete() {
		h.noteSnapshot(r)
		return false
	}
	if r.After+1 < h.first || r.Version < h.version {
		return false
	}
	changed, err := h.adopt(r)
	if err != nil {
		return false
	}
	h.lastAfter = r.After
	h.lastWhen = r.When
	return changed
}

func (h *History) noteSnapshot(r record) {
	if r.Version == h.version && r.Sum != sumText(h.doc.Sum()) {
		h.diverged++
	}
	if r.After >= h.lastAfter {
		h.lastAfter = r.After
		h.lastWhen = r.When
	}
}

func (h *History) void(id string) {
	h.voids = append(h.voids, voided{id: id, current: h.version})
	if len(h.voids) > maxVoids {
		h.voids = h.voids[1:]
	}
}

func (h *History) remember(e audit.Entry) {
	h.entries = append(h.entries, e)
	h.entryBytes += e.Size()
	for len(h.entries) > maxEntries || h.entryBytes > maxEntryBytes {
		h.entryBytes -= h.entries[0].Size()
		h.entries = h.entries[1:]
	}
}

// Entries returns up to n of the newest entries, newest first.
func (h *History) Entries(n int) []audit.Entry {
	n = min(max(n, 0), len(h.entries))
	out := make([]audit.Entry, 0, n)
	for i := range n {
		out = append(out, h.entries[len(h.entries)-1-i])
	}
	return out
}

// Applied returns the version that the record of this id became.
func (h *History) Applied(id string) (int64, bool) {
	for i := len(h.entries) - 1; i >= 0; i-- {
		if h.entries[i].ID() == id {
			return h.entries[i].Version(), true
		}
	}
	return 0, false
}

// Rejected returns the version that was in force when the record of this id lost, unless a copy of it was applied.
func (h *History) Rejected(id string) (int64, bool) {
	if _, ok := h.Applied(id); ok {
		return 0, false
	}
	for i := len(h.voids) - 1; i >= 0; i-- {
		if h.voids[i].id == id {
			return h.voids[i].current, true
		}
	}
	return 0, false
}

// At returns the document of a version that the remembered entries reach; version 0 is the empty document.
func (h *History) At(version int64) (fold.Document, bool) {
	switch version {
	case 0:
		return fold.Document{}, true
	case h.version:
		return h.doc, true
	}
	i := slices.IndexFunc(h.entries, func(e audit.Entry) bool { return e.Version() == version })
	if i < 0 {
		return fold.Document{}, false
	}
	var undo []delta.Change
	for _, e := range slices.Backward(h.entries[i+1:]) {
		undo = append(undo, e.Undo()...)
	}
	doc, err := h.doc.Apply(delta.Join(undo))
	return doc, err == nil
}

// Changed returns what differs between two versions, and false when one of them is no longer remembered.
func (h *History) Changed(from, to int64) ([]delta.Change, bool) {
	a, ok := h.At(from)
	if !ok {
		return nil, false
	}
	b, ok := h.At(to)
	if !ok {
		return nil, false
	}
	return a.Diff(b), true
}
