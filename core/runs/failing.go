package runs

import (
	"math"
	"time"
)

const (
	// failingWeight is the weight of one run in the mean: five failures among the last ten runs show, one failure no longer counts after some ten.
	failingWeight = 0.2
	// failingSteps is the number of steps in which the fraction is reported, so that it changes rarely.
	failingSteps = 8
)

// failing is the moving average of the fraction of failed runs; the zero value is none. The load is a target that fails a part of what it runs
// and stays connected: every entry sees few of its runs, its agent sees all.
type failing struct {
	mean float64
	last time.Time // of the last run, or of the last reduction
}

// count counts the end of a run; ends other than done and failed say nothing of the target.
func (f *failing) count(now time.Time, how string) {
	switch how {
	case done:
		f.mean -= failingWeight * f.mean
	case failed:
		f.mean += failingWeight * (1 - f.mean)
	default:
		return
	}
	f.last = now
}

// decay reduces the fraction after each decayPeriod without a run, since little work goes to a target that failed some, and reports whether the
// reported value has changed.
func (f *failing) decay(now time.Time) bool {
	if f.mean == 0 || now.Sub(f.last) < decayPeriod {
		return false
	}
	before := f.eighths()
	f.mean *= decayFactor
	f.last = now
	return f.eighths() != before
}

// eighths returns the fraction in steps of an eighth.
func (f *failing) eighths() int { return int(math.Round(failingSteps * f.mean)) }
