package queue

import "time"

const (
	// greedyBacklog is the backlog, in time at the share's rate, from which a share above its part counts as a borrower.
	greedyBacklog = 300 * time.Millisecond
	// lendingRun is the run time at which half of the others' unused peak is kept from a borrower.
	lendingRun = 250 * time.Millisecond
	// peakWindow is the length of each of the two windows in which the peak is remembered.
	peakWindow = 5 * time.Second
)

// loan decides how much unused share is lent to shares with a backlog.
//
// What is lent comes back only when the borrower's task ends, and meanwhile a task of the lender waits. So the longer
// a borrower's task runs, the more of the recent peak of the others' use is kept free from it.
type loan struct {
	own      int64 // thousandths of the host that run on their own share
	borrowed int64 // thousandths of the host that run on lent capacity
	peak     int64 // greatest own in the present window
	before   int64 // greatest own in the window before
	ends     time.Time
}

func (l *loan) advance(now time.Time) {
	if now.Before(l.ends) {
		return
	}
	l.before = l.peak
	l.peak = l.own
	l.ends = now.Add(peakWindow)
}

func (l *loan) start(size int64, borrowed bool) {
	if borrowed {
		l.borrowed += size
		return
	}
	l.own += size
	l.peak = max(l.peak, l.own)
}

func (l *loan) end(size int64, borrowed bool) {
	if borrowed {
		l.borrowed = max(l.borrowed-size, 0)
		return
	}
	l.own = max(l.own-size, 0)
}

// lends reports whether an item may start on lent capacity.
func (l *loan) lends(size int64, run time.Duration) bool {
	unused := float64(max(l.peak, l.before) - l.own)
	kept := unused * run.Seconds() / (run + lendingRun).Seconds()
	return kept == 0 || float64(l.own+l.borrowed+size)+kept <= wholeHost
}
