package vers

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"persimmonstage/core/audit"
	"persimmonstage/core/fold"
)

// Snapshot returns the full state, as a record for the log or for Adopt in a peer, or nil before the first version and
// while records are missing.
func (h *History) Snapshot(id string, when time.Time) []byte {
	if !h.inForce() {
		return nil
	}
	r := h.fullState()
	r.ID = id
	r.When = when
	return r.encode()
}

func (h *History) fullState() record {
	text := string(h.doc.TOML())
	return record{
		Type: typeSnapshot, Sum: sumText(h.doc.Sum()), Version: h.version, After: h.reflectedOffset(), Document: &text,
		LastAfter: h.lastAfter, LastWhen: h.lastWhen, Entries: h.recentEntries(),
	}
}

func (h *History) recentEntries() []audit.Entry {
	n, size := 0, 0
	for n < min(maxSnapshotEntries, len(h.entries)) {
		size += h.entries[len(h.entries)-1-n].Size()
		if size > maxSnapshotEntryBytes {
			break
		}
		n++
	}
	return h.entries[len(h.entries)-n:]
}

// SnapshotDue reports whether half of the retention, count records or the given age, has passed since the newest
// snapshot, or since the first change if there is none; after the other half the log would drop it.
func (h *History) SnapshotDue(now time.Time, count int64, age time.Duration) bool {
	if !h.inForce() {
		return false
	}
	if h.lastRead-h.lastAfter >= max(1, count/2) {
		return true
	}
	expires := h.lastWhen.Add(age / 2)
	return age > 0 && now.After(expires)
}

// Since returns what a process at the given version lacks: an update, the full state, or nil if it is up to date.
func (h *History) Since(version int64) []byte {
	if version >= h.version {
		return nil
	}
	i := slices.IndexFunc(h.entries, func(e audit.Entry) bool { return e.Version() == version })
	full := h.fullState()
	if i < 0 {
		return full.encode()
	}
	update := record{
		Type: typeUpdate, Sum: full.Sum, Version: h.version, After: h.reflectedOffset(), From: version,
		LastAfter: h.lastAfter, LastWhen: h.lastWhen, Entries: h.entries[i+1:],
	}
	small, large := update.encode(), full.encode()
	if len(small) <= len(large) {
		return small
	}
	return large
}

// errOtherBase reports an update from a version that isn't in force here; the full state is needed.
var errOtherBase = errors.New("the update starts from another version")

// errNoVersion reports a state without a version, which no process writes.
var errNoVersion = errors.New("a state without a version")

// Adopt applies what a peer's Since or Snapshot returned and reports whether the version in force changed. On an error
// the version and document stay, and the caller should request the full state, Since(0), from the peer.
func (h *History) Adopt(data []byte) (bool, error) {
	r, err := decode(data)
	if err != nil {
		return false, err
	}
	if r.Type != typeSnapshot && r.Type != typeUpdate {
		return false, errors.Newf("type %q is neither snapshot nor update", r.Type)
	}
	if r.Version < h.version || (r.Version == h.version && r.After <= h.reflectedOffset()) {
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

// adopt replaces the state with that of r, which must not be older.
func (h *History) adopt(r record) (bool, error) {
	if r.Version == 0 {
		return false, errNoVersion
	}
	doc, err := h.documentIn(r)
	if err != nil {
		return false, err
	}
	if sumText(doc.Sum()) != r.Sum {
		h.diverged++
		return false, errors.Newf("checksum %s of version %d doesn't match", r.Sum, r.Version)
	}
	changed := r.Version != h.version
	h.mergeEntries(r)
	h.doc = doc
	h.version = r.Version
	h.lastRead = r.After
	h.raise(onAdopt)
	return changed, nil
}

func (h *History) documentIn(r record) (fold.Document, error) {
	if r.Type == typeSnapshot {
		if r.Document == nil {
			return fold.Document{}, errors.New("a snapshot without a document")
		}
		return fold.Parse("", []byte(*r.Document))
	}
	if r.From != h.version {
		return fold.Document{}, errOtherBase
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

// mergeEntries adds the record's new entries; the kept entries are dropped when there is a gap before the new ones.
func (h *History) mergeEntries(r record) {
	added := r.Entries
	if r.Type == typeSnapshot && r.Version != h.version {
		i := slices.IndexFunc(added, func(e audit.Entry) bool { return e.Version() == h.version })
		if i < 0 {
			h.entries = nil
			h.entryBytes = 0
		}
		added = added[i+1:]
	}
	for _, e := range added {
		if e.Version() > h.version || len(h.entries) == 0 {
			h.addEntry(e)
		}
	}
}
