package vers

import (
	"slices"
	"time"

	"persimmonstage/core/audit"
	"persimmonstage/core/delta"
	"persimmonstage/core/fold"
)

// Concurrent publications are resolved by the log's order, without locks or clocks: every reader rejects a change whose
// base isn't the version in force at the change's offset. A version is the offset of its record, so it is never reused,
// and a second copy of a record (an append retried after its response was lost) is rejected by the same rule.
//
// A snapshot states the version in force after a given offset, not at the snapshot's own offset: records between its
// writer's last read and its append are replayed on top of it, so a reader that starts there agrees with one that has
// read everything. A reader that misses records (Skip) waits for a snapshot from whose offset it can still read on.

const (
	maxEntries            = 1000
	maxEntryBytes         = 8 << 20
	maxSnapshotEntries    = 32
	maxSnapshotEntryBytes = 64 << 10
	maxRejected           = 1024
)

// rejectedRecord holds the id of a rejected change and the version in force then, for its publisher's conflict error.
type rejectedRecord struct {
	id      string
	current int64
}

// History is the configuration as read from the log by one process; the zero value has read nothing.
type History struct {
	version        int64
	doc            fold.Document
	lastRead       int64 // offset of the last record processed, skipped or covered by an adopted state
	state          int   // of historyChart
	oldestReadable int64 // while records are missing: the oldest offset that could be read
	asOf           int64 // while records are missing: the value of lastRead before the first missing record

	entries    []audit.Entry
	entryBytes int
	rejected   []rejectedRecord

	lastAfter int64 // of the newest snapshot in the log
	lastWhen  time.Time
	diverged  int
}

// Version returns the version in force here, or 0 before the first.
func (h *History) Version() int64 { return h.version }

// Document returns the document in force.
func (h *History) Document() fold.Document { return h.doc }

// Next returns the offset of the record to apply next.
func (h *History) Next() int64 { return h.lastRead + 1 }

// Complete returns false while records are known to be missing, until a snapshot or a peer's state covers the gap.
func (h *History) Complete() bool { return h.state == stateUnknown || h.inForce() }

// Diverged counts snapshots and updates whose checksum differed from the document here; anything but 0 is a bug.
func (h *History) Diverged() int { return h.diverged }

// Skip records that the log no longer holds the records before first; the version in force stays until a snapshot replaces it.
func (h *History) Skip(first int64) {
	if first <= h.Next() {
		return
	}
	h.raise(onSkip)
	h.oldestReadable = first
	h.lastRead = first - 1
}

// reflectedOffset returns the offset up to which records are reflected in the version in force.
func (h *History) reflectedOffset() int64 {
	if h.Complete() {
		return h.lastRead
	}
	return h.asOf
}

// Apply processes the record at offset Next, ignoring any other offset, and returns whether the version in force changed.
func (h *History) Apply(offset int64, data []byte) bool {
	if offset != h.Next() {
		return false
	}
	h.lastRead = offset
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
		h.reject(r.ID)
		return false
	}
	doc, err := h.documentAfter(r)
	if err != nil || sumText(doc.Sum()) != r.Sum {
		h.reject(r.ID)
		return false
	}
	changes := h.doc.Diff(doc)
	h.addEntry(audit.New(offset, r.ID, r.Author, r.When, changes, doc.Diff(h.doc)))
	h.doc = doc
	h.version = offset
	h.raise(onChange)
	return true
}

func (h *History) documentAfter(r record) (fold.Document, error) {
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
	if r.After+1 < h.oldestReadable || r.Version < h.version {
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

func (h *History) reject(id string) {
	h.rejected = append(h.rejected, rejectedRecord{id: id, current: h.version})
	if len(h.rejected) > maxRejected {
		h.rejected = h.rejected[1:]
	}
}

func (h *History) addEntry(e audit.Entry) {
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

// Applied returns the version created by the record with this id.
func (h *History) Applied(id string) (int64, bool) {
	for i := len(h.entries) - 1; i >= 0; i-- {
		if h.entries[i].ID() == id {
			return h.entries[i].Version(), true
		}
	}
	return 0, false
}

// Rejected returns the version in force when the record with this id was rejected, unless a copy of it was applied.
func (h *History) Rejected(id string) (int64, bool) {
	if _, ok := h.Applied(id); ok {
		return 0, false
	}
	for i := len(h.rejected) - 1; i >= 0; i-- {
		if h.rejected[i].id == id {
			return h.rejected[i].current, true
		}
	}
	return 0, false
}

// At returns the document of a version that the kept entries reach back to; version 0 is the empty document.
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

// Changed returns the changes between two versions, and false when one of them is no longer kept.
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
