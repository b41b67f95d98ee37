package follow

import "time"

const (
	// readsPerList is the number of reads between two lists.
	readsPerList = 5
	// maxPartial is how long lists that lack the topic's last record count as outdated; after it, that record removed a key.
	maxPartial = 10 * time.Second
	// minPause and maxPause bound the pause after a missing or outdated answer; it doubles with each.
	minPause = 100 * time.Millisecond
	maxPause = 800 * time.Millisecond
)

// Follower is the state of one reader; the zero value starts with a list.
type Follower struct {
	next         int64 // offset to read from
	end          int64 // offset after the last record that any answer has told of
	readsLeft    int   // until the next list
	missing      bool  // records before next have not been read, and no list has shown the newest of them yet
	partialSince time.Time
	pause        time.Duration
}

// Next returns the offset to read from, and whether the newest records have to be listed instead.
func (f *Follower) Next() (from int64, list bool) { return f.next, f.readsLeft == 0 }

// Pause returns the pause before the next call, which grows while answers are missing or outdated.
func (f *Follower) Pause() time.Duration { return f.pause }

// End returns the offset after the last record that any answer has told of.
func (f *Follower) End() int64 { return f.end }

// Listed processes a list: end is the offset after the topic's last record, last the highest offset of a listed one, -1 if the list
// is empty. It reports whether the list shows all records.
func (f *Follower) Listed(now time.Time, end, last int64) bool {
	if end < f.end || last < end-1 && !f.isRemoval(now, end) {
		// Reading on from the old offset shows the missing records, or that they have been dropped.
		f.end, f.readsLeft = max(f.end, end), 1
		f.backOff()
		return false
	}
	f.partialSince, f.pause, f.missing = time.Time{}, 0, false
	f.next, f.end, f.readsLeft = end, end, readsPerList
	return true
}

// isRemoval reports whether lists have lacked the topic's last record, which is the newest of its key, for so long that it removed
// the key.
func (f *Follower) isRemoval(now time.Time, end int64) bool {
	if f.partialSince.IsZero() || end != f.end {
		f.partialSince = now
	}
	return now.Sub(f.partialSince) > maxPartial
}

// Read processes the answer to a read that brought n records; end is the offset after the topic's last record, first that of the
// first retained one. It reports whether all records have been read.
func (f *Follower) Read(n int, end, first int64) bool {
	f.readsLeft--
	f.missing = f.missing || first > f.next
	f.next = max(f.next, first) + int64(n)
	outdated := end < f.end
	f.end = max(f.end, end, f.next)
	if f.missing || n == 0 && end > f.next {
		f.readsLeft = 0
		return false
	}
	if outdated || f.next < f.end {
		return false
	}
	f.pause = 0
	return true
}

// Failed processes a call without a usable answer; the next one is a list.
func (f *Follower) Failed() {
	f.readsLeft = 0
	f.backOff()
}

func (f *Follower) backOff() { f.pause = min(maxPause, max(minPause, 2*f.pause)) }
