package place

import "time"

const (
	delayFactor   = 40  // delay of a job's tasks, as a multiple of the time that all targets together need for the job
	delayDeadline = 0.5 // largest delay, as a share of the time to the deadline
)

// DelayLarge makes the tasks of large jobs queue at the agents as if they had arrived later, by a multiple of the time in which
// all targets together could finish the job. A job of one task isn't delayed; a large one is delayed no more than others in
// relation to its shortest possible time. It requires agents that order the tasks of a share by arrival plus Choice.Delay, and
// bookings by class at the roster.
func (p *Placer) DelayLarge(on bool) {
	p.delayLarge = on
}

// delay returns the delay of the tasks of a job.
func (p *Placer) delay(now time.Time, kind int, req *Request) time.Duration {
	if !p.delayLarge || req.Delay > 0 || len(req.Tasks) < 2 {
		return req.Delay
	}
	total, longest := time.Duration(0), time.Duration(0)
	for i := range req.Tasks {
		run := p.speeds.Expect(0, kind, req.Tasks[i].Declared)
		total += run
		longest = max(longest, run)
	}
	delay := delayFactor * (total - longest) / time.Duration(p.roster.Parallel(req.Tasks[0].Needs))
	if !req.Deadline.IsZero() {
		most := delayDeadline * float64(req.Deadline.Sub(now))
		delay = min(delay, max(0, time.Duration(most)))
	}
	return delay
}
