package place

import "time"

const (
	delayFactor   = 40  // delay of a job's tasks, in times that all targets together need for the job
	delayDeadline = 0.5 // largest delay, as a share of the time to the deadline
)

// DelayLarge lets the tasks of large jobs take their place in the agents' queues later than they arrive, by a multiple of the
// time in which all targets together could work the job off: a job of one task isn't delayed, and one of many is, relative
// to what it needs at best, no more than the others. It wants agents that order the tasks of a share by arrival plus
// Choice.Delay, and bookings by class at the roster.
func (p *Placer) DelayLarge(on bool) {
	p.delayLarge = on
}

// delay returns by how much the tasks of a job are delayed.
func (p *Placer) delay(now time.Time, kind int, ask *Request) time.Duration {
	if !p.delayLarge || ask.Delay > 0 || len(ask.Tasks) < 2 {
		return ask.Delay
	}
	total, longest := time.Duration(0), time.Duration(0)
	for i := range ask.Tasks {
		run := p.speeds.Expect(0, kind, ask.Tasks[i].Declared)
		total += run
		longest = max(longest, run)
	}
	delay := delayFactor * (total - longest) / time.Duration(p.roster.Parallel(ask.Tasks[0].Needs))
	if !ask.Deadline.IsZero() {
		most := delayDeadline * float64(ask.Deadline.Sub(now))
		delay = min(delay, max(0, time.Duration(most)))
	}
	return delay
}
