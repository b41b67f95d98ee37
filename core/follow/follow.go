package follow

import "time"

const (
	// readsPerList is the number of reads between two lists.
	readsPerList = 5
	// maxPartial is how long lists that lack the topic's last record count as outdated; after it, that record removed a key.
	maxPartial = 10 * time.Second
	// minPause and maxPause bound the pause after a failed call; it doubles with each failure.
	minPause = 100 * time.Millisecond
	maxPause = 800 * time.Millisecond
)

// Follower is the state of one reader; the zero value starts with a list.
type Follower struct {
	next         int64 // offset to read from; the newest records before it are known
	end          int64 // offset after the last record that any answer has told of
	readsLeft    int   // until the next list
	partialSince time.Time
	pause        time.Duration
}

// Next returns the offset to read from, and whether the newest records have to be listed instead.
func (f *Follower) Next() (from int64, list bool) { return f.next, f.readsLeft == 0 }

// End returns the offset after the last record that any answer has told of.
func (f *Follower) End() int64 { return f.end }

// Listed processes a list: end is the offset after the topic's last record, last the highest offset of a listed one, -1 if the list
// is empty. It reports whether the list shows all records.
func (f *Follower) Listed(now time.Time, end, last int64) bool {
	if end < f.end || !Whole(end, last) && !f.isRemoval(now, end) {
		// Reading on from the old offset shows the missing records, or that they have been dropped.
		f.end, f.readsLeft = max(f.end, end), 1
		return false
	}
	f.partialSince, f.pause = time.Time{}, 0
	f.next, f.end, f.readsLeft = end, end, readsPerList
	return true
}

// Whole reports whether a list shows all records: the topic's last record is the newest of its key, so an up-to-date list has it.
func Whole(end, last int64) bool { return last >= end-1 }

// isRemoval reports whether lists have lacked the last record for so long that it removed a key.
func (f *Follower) isRemoval(now time.Time, end int64) bool {
	if f.partialSince.IsZero() || end != f.end {
		f.partialSince = now
	}
	return now.Sub(f.partialSince) > maxPartial
}

// Read processes the answer to a read that brought n records; end is the offset after the topic's last record, first that of the
// first retained one. It reports whether all records have been read.
func (f *Follower) Read(n int, end, first int64) bool {
	f.pause = 0
	f.readsLeft--
	gap := first > f.next
	f.next += int64(n)
	f.end = max(f.end, f.next)
	if gap || n == 0 && end > f.next {
		f.end, f.readsLeft = max(f.end, end), 0
		return false
	}
	f.end = max(f.end, end)
	return end == f.end && f.next == f.end
}

// Failed processes a call without a usable answer and returns the pause before the next one, which is a list.
func (f *Follower) Failed() time.Duration {
	f.readsLeft = 0
	f.pause = min(maxPause, max(minPause, 2*f.pause))
	return f.pause
}
