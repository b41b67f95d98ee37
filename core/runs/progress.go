package runs

import "time"

const (
	// progressPeriod is the least time between two evaluations of the progress of one run.
	progressPeriod = 50 * time.Millisecond
	// unusualFactor is the multiple of its expected time that a run has to take before its owner gets a forecast: more than the
	// usual error of estimates.
	unusualFactor = 1.3
	// forecastFactor is the factor by which a run time has to differ from the last forecast to be sent again.
	forecastFactor = 1.03
	// recountFactor is the factor by which the run time of one run has to grow to be a sample of the pace again: one long run is
	// less evidence about its target than several.
	recountFactor = 2
	// minPercent is the progress from which on a run is evaluated, unless it is overdue: progress is reported in whole percents,
	// rounded down, so small values are inaccurate.
	minPercent = 6
	// maxUsualPace bounds the pace from which the usual run time is computed: at a slower target every run is unusual.
	maxUsualPace = 2
	// fullPercent is the progress of a run that has ended.
	fullPercent = 100
)

// checkProgress estimates the whole run time of a run from its progress. If that is unusually long, it becomes a sample of the
// pace and is reported to the owner before the run ends.
func (r *Runs) checkProgress(now time.Time, u *run, percent int) {
	if u.state != stateRunning || now.Sub(u.progressAt) < progressPeriod || now.Sub(u.began) < progressPeriod {
		return
	}
	u.progressAt = now
	ran := now.Sub(u.began)
	whole := ran * fullPercent / time.Duration(percent+1)
	usual := time.Duration(min(r.pace.value(), maxUsualPace) * float64(u.order.Expected))
	if float64(whole) < unusualFactor*float64(usual) || percent < minPercent && ran < usual {
		return
	}
	if float64(whole) > recountFactor*float64(u.countedRunTime) && r.pace.learnOverdue(now, whole, u.order.Expected) {
		u.countedRunTime = whole
		r.out.Changed()
	}
	if float64(whole) > forecastFactor*float64(u.lastForecast) || forecastFactor*float64(whole) < float64(u.lastForecast) {
		u.lastForecast = whole
		r.out.Forecast(u.owner, u.order.Attempt, whole-ran)
	}
}
