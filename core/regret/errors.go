package regret

// Errors counts wrong decisions on jobs that take longer than expected.
type Errors struct {
	GivenUp   int // jobs ended before their deadline, as no target could end them by it
	Kept      int // jobs that ran until their deadline in vain
	Forecasts int // attempts that ended well after a forecast
	Early     int // those of them that ended before their earliest possible end by forecast
}

func (e *Errors) add(j *job) {
	if j.givenUp {
		e.GivenUp++
	}
	if j.kept {
		e.Kept++
	}
	e.Forecasts += j.forecasts
	e.Early += j.early
}

// Add adds the errors of another window.
func (e *Errors) Add(o Errors) {
	e.GivenUp, e.Kept, e.Forecasts, e.Early = e.GivenUp+o.GivenUp, e.Kept+o.Kept, e.Forecasts+o.Forecasts, e.Early+o.Early
}

// Wrongly estimates how many of the jobs that were given up would have ended in time: forecasts of jobs that are given up are as often
// wrong as those of attempts that ended.
func (e Errors) Wrongly() float64 {
	if e.Forecasts == 0 {
		return 0
	}
	return float64(e.GivenUp) * float64(e.Early) / float64(e.Forecasts)
}
