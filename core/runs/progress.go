package runs

import "time"

const (
	// progressEvery is the time between two looks at one run that count.
	progressEvery = 50 * time.Millisecond
	// unusual is how many times its expected time a run has to take before its owner is told: past what estimates are off.
	unusual = 1.3
	// retell is by which factor a run time has to differ from the one that was told to be told again.
	retell = 1.03
	// recount is by which factor the run time of one run has to rise to count for the pace again: one long run says less of its
	// target than many.
	recount = 2
	// leastPercent is the progress from which on a run is judged, unless it is overdue: progress is told in whole percents, rounded
	// down, so little of it tells little.
	leastPercent = 6
	// soundPace bounds the pace that is expected of the target: at a slower one every run is unusual.
	soundPace = 2
	// wholePercent is the progress of a run that has ended.
	wholePercent = 100
)

// progress judges by what is done of a run how long it takes: one that takes unusually long counts for the pace and is told to
// its owner before its end.
func (r *Runs) progress(now time.Time, u *run, percent int) {
	if u.state != stateRunning || now.Sub(u.looked) < progressEvery || now.Sub(u.began) < progressEvery {
		return
	}
	u.looked = now
	ran := now.Sub(u.began)
	whole := ran * wholePercent / time.Duration(percent+1)
	usual := time.Duration(min(r.pace.value(), soundPace) * float64(u.order.Expected))
	if float64(whole) < unusual*float64(usual) || percent < leastPercent && ran < usual {
		return
	}
	if float64(whole) > recount*float64(u.counted) && r.pace.overdue(now, whole, u.order.Expected) {
		u.counted = whole
		r.out.Changed()
	}
	if float64(whole) > retell*float64(u.forecast) || retell*float64(whole) < float64(u.forecast) {
		u.forecast = whole
		r.out.Forecast(u.owner, u.order.Attempt, whole-ran)
	}
}
