package runs

import "math"

const (
	// failingWeight is the weight of one run in the mean: five failures among the last ten runs show, one failure is gone after some ten.
	failingWeight = 0.2
	// failingSteps is the number of steps in which the fraction is reported, so that it changes rarely.
	failingSteps = 8
)

// failing is the moving average of the fraction of failed runs; the zero value is none. The load is a target that fails a part of what it runs
// and stays connected: every entry sees few of its runs, its agent sees all.
type failing struct{ mean float64 }

// count counts the end of a run; ends other than done and failed say nothing of the target.
func (f *failing) count(how string) {
	switch how {
	case done:
		f.mean -= failingWeight * f.mean
	case failed:
		f.mean += failingWeight * (1 - f.mean)
	}
}

// eighths returns the fraction in steps of an eighth.
func (f *failing) eighths() int { return int(math.Round(failingSteps * f.mean)) }
