package vers

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"persimmonstage/core/audit"
	"persimmonstage/core/fold"
)

// Snapshot returns the whole state: a record for the log, and what a peer adopts. It is nil before the first version
// and while records are missing.
func (h *History) Snapshot(id string, when time.Time) []byte {
	if !h.inForce() {
		return nil
	}
	r := h.whole()
	r.ID = id
	r.When = when
	return r.encode()
}

func (h *History) whole() record {
	text := string(h.doc.TOML())
	return record{
		Type: typeSnapshot, Sum: sumText(h.doc.Sum()), Version: h.version, After: h.accounted(), Document: &text,
		LastAfter: h.lastAfter, LastWhen: h.lastWhen, Entries: h.tail(),
	}
}

func (h *History) tail() []audit.Entry {
	n, size := 0, 0
	for n < min(maxTail, len(h.entries)) {
		size += h.entries[len(h.entries)-1-n].Size()
		if size > maxTailBytes {
			break
		}
		n++
	}
	return h.entries[len(h.entries)-n:]
}

// SnapshotDue tells whether the log would lose its newest snapshot, or its start, after another half of its retention
// of count records and the given age.
func (h *History) SnapshotDue(now time.Time, count int64, age time.Duration) bool {
	if !h.inForce() {
		return false
	}
	if h.read-h.lastAfter >= max(1, count/2) {
		return true
	}
	expires := h.lastWhen.Add(age / 2)
	return age > 0 && now.After(expires)
}

// Since returns what a process that has the given version needs: an update, the whole state, or nil when it has all.
func (h *History) Since(version int64) []byte {
	if version >= h.version {
		return nil
	}
	i := slices.IndexFunc(h.entries, func(e audit.Entry) bool { return e.Version() == version })
	whole := h.whole()
	if i < 0 {
		return whole.encode()
	}
	update := record{
		Type: typeUpdate, Sum: whole.Sum, Version: h.version, After: h.accounted(), From: version,
		LastAfter: h.lastAfter, LastWhen: h.lastWhen, Entries: h.entries[i+1:],
	}
	small, large := update.encode(), whole.encode()
	if len(small) <= len(large) {
		return small
	}
	return large
}

// errUnfit says that an update starts from a version that isn't in force here; the whole state is needed.
var errUnfit = errors.New("the update starts from another version")

// errNoVersion says that a state belongs to no version; nothing writes one.
var errNoVersion = errors.New("a state without a version")

// Adopt takes what a peer returned from Since or Snapshot, and returns whether the version in force changed. After an
// error the state is as before, and the peer is to be asked for the whole with Since(0).
func (h *History) Adopt(data []byte) (bool, error) {
	r, err := decode(data)
	if err != nil {
		return false, err
	}
	if r.Type != typeSnapshot && r.Type != typeUpdate {
		return false, errors.Newf("type %q is neither snapshot nor update", r.Type)
	}
	if r.Version < h.version || (r.Version == h.version && r.After <= h.accounted()) {
		return false, nil
	}
	changed, err := h.adopt(r)
	if err != nil {
		return false, err
	}
	if r.LastAfter >= h.lastAfter {
		h.lastAfter = r.LastAfter
		h.lastWhen = r.LastWhen
	}
	return changed, nil
}

// adopt replaces the state by that of a record that is known to be no older.
func (h *History) adopt(r record) (bool, error) {
	if r.Version == 0 {
		return false, errNoVersion
	}
	doc, err := h.adopted(r)
	if err != nil {
		return false, err
	}
	if sumText(doc.Sum()) != r.Sum {
		h.diverged++
		return false, errors.Newf("checksum %s of version %d doesn't match", r.Sum, r.Version)
	}
	changed := r.Version != h.version
	h.join(r)
	h.doc = doc
	h.version = r.Version
	h.read = r.After
	h.raise(onAdopt)
	return changed, nil
}

func (h *History) adopted(r record) (fold.Document, error) {
	if r.Type == typeSnapshot {
		if r.Document == nil {
			return fold.Document{}, errors.New("a snapshot without a document")
		}
		return fold.Parse("", []byte(*r.Document))
	}
	if r.From != h.version {
		return fold.Document{}, errUnfit
	}
	doc := h.doc
	for _, e := range r.Entries {
		next, err := doc.Apply(e.Changes())
		if err != nil {
			return fold.Document{}, err
		}
		doc = next
	}
	return doc, nil
}

// join adds the record's entries that are new here; older ones are dropped when there is a gap before them.
func (h *History) join(r record) {
	fresh := r.Entries
	if r.Type == typeSnapshot && r.Version != h.version {
		i := slices.IndexFunc(fresh, func(e audit.Entry) bool { return e.Version() == h.version })
		if i < 0 {
			h.entries = nil
			h.entryBytes = 0
		}
		fresh = fresh[i+1:]
	}
	for _, e := range fresh {
		if e.Version() > h.version || len(h.entries) == 0 {
			h.remember(e)
		}
	}
}
