package queue

import "time"

const (
	// borrowBacklog is the backlog, in time at the share's rate, from which a share above its own fraction borrows.
	borrowBacklog = 300 * time.Millisecond
	// halfReservedRun is the run time at which half of the others' unused peak is withheld from a borrower.
	halfReservedRun = 250 * time.Millisecond
	// peakWindow is the length of each of the two windows over which the peak is tracked.
	peakWindow = 5 * time.Second
)

// lending decides how much of the unused shares is lent to shares with a backlog.
//
// Lent capacity is returned only when the borrower's task ends, and until then tasks of the lender wait. So the longer a
// borrower's task runs, the more of the recent peak use of the others is withheld from it.
type lending struct {
	own          int64 // thousandths of the host used by items within their own share
	borrowed     int64 // thousandths of the host used by items on borrowed capacity
	peak         int64 // greatest own in the current window
	previousPeak int64 // greatest own in the previous window
	windowEnd    time.Time
}

func (l *lending) advance(now time.Time) {
	if now.Before(l.windowEnd) {
		return
	}
	l.previousPeak = l.peak
	l.peak = l.own
	l.windowEnd = now.Add(peakWindow)
}

func (l *lending) start(size int64, borrowed bool) {
	if borrowed {
		l.borrowed += size
		return
	}
	l.own += size
	l.peak = max(l.peak, l.own)
}

func (l *lending) end(size int64, borrowed bool) {
	if borrowed {
		l.borrowed = max(l.borrowed-size, 0)
		return
	}
	l.own = max(l.own-size, 0)
}

// allows reports whether an item may start on borrowed capacity.
func (l *lending) allows(size int64, run time.Duration) bool {
	unused := float64(max(l.peak, l.previousPeak) - l.own)
	reserved := unused * run.Seconds() / (run + halfReservedRun).Seconds()
	return reserved == 0 || float64(l.own+l.borrowed+size)+reserved <= wholeHost
}
