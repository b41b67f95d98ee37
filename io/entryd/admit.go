package entryd

import (
	"time"

	"github.com/cockroachdb/errors"

	"persimmonstage/core/admit"
	"persimmonstage/core/answer"
	"persimmonstage/core/job"
	"persimmonstage/core/tally"
)

const (
	// slotPart is the part of a target, in thousandths, that a task with one slot of eight takes.
	slotPart  = 125
	wholeHost = 1000.0
	// waitingPerSlot is how many tasks of jobs without an answer an entry takes for each slot of the fleet: more would wait
	// so long that the memory and the messages that they cost serve nobody.
	waitingPerSlot  = 64
	minWaiting      = 4096
	maxWaiting      = 1_000_000
	maxWaitingBytes = 512 << 20
	// taskOverhead is the memory that a task holds besides its payload, in bytes.
	taskOverhead = 512
)

// admit takes a new job through the gate, which gives the time before which the team's quota doesn't cover it, or gives the
// refusal of one that can't be served.
func (d *Daemon) admit(now time.Time, j *job.Job) (*admit.Request, time.Time, *answer.Answer) {
	for i := range j.Tasks {
		if err := d.roster.CheckFits(j.Tasks[i].Needs); err != nil {
			a := answer.Refusal(answer.StatusMalformed, j.Key.ID, taskField(i)+err.Error(), "never-fits", 0)
			return nil, time.Time{}, &a
		}
	}
	urgency := d.rules.Load().Urgency(j.Key.Team, j.Kind)
	d.account.Tell(func(t *tally.Tally) { t.Asked(now, j.Key.Team, j.Kind, urgency, len(j.Tasks)) })
	r := d.request(j)
	d.setFleet()
	ready, err := d.gate.Admit(r, now)
	var refused *admit.RefusedError
	switch {
	case err == nil:
		return &r, ready, nil
	case errors.As(err, &refused):
		retry := time.Duration(0)
		if !refused.Retry.IsZero() {
			retry = refused.Retry.Sub(now)
		}
		a := answer.Refusal(refusalStatus(refused.Reason), j.Key.ID, refused.Error(), refused.Reason, retry)
		return nil, time.Time{}, &a
	}
	a := answer.Refusal(answer.StatusUnavailable, j.Key.ID, err.Error(), "", time.Second)
	return nil, time.Time{}, &a
}

// request describes a job to the gate: its run time is the configured one, or what was learned of its kind.
func (d *Daemon) request(j *job.Job) admit.Request {
	r := admit.Request{
		Team: j.Key.Team, Kind: j.Kind, Tasks: int64(len(j.Tasks)), Size: slotPart, Issued: j.Issued, Deadline: j.Deadline,
	}
	declared, _ := d.rules.Load().ExpectedRunTime(j.Key.Team, j.Kind)
	r.Run = d.speeds.Expect(0, d.speeds.Kind(j.Kind), declared)
	for i := range j.Tasks {
		r.Bytes += int64(len(j.Tasks[i].Payload)) + taskOverhead
		r.Size = max(r.Size, int64(j.Tasks[i].Needs.Slots)*slotPart)
	}
	return r
}

func refusalStatus(reason string) int {
	if reason == admit.OverQuota || reason == admit.ShareFull {
		return answer.StatusTooMany
	}
	return answer.StatusUnavailable
}

// setFleet tells the gate this entry's part of what all targets do in a second. It costs next to nothing, so it is called
// before each decision: what was announced or lost a moment ago counts.
func (d *Daemon) setFleet() {
	members := 1
	if m := d.group.Map(); m != nil {
		members = max(m.Size(), 1)
	}
	slots := int64(d.roster.Total().Slots)
	d.gate.SetBounds(min(max(slots*waitingPerSlot, minWaiting), maxWaiting), maxWaitingBytes)
	d.gate.SetFleetRate(float64(d.roster.Hosts()) / wholeHost * max(d.part, 1/float64(members)))
}

// setPart finds this entry's part of the targets' work: the whole while the other entries have none there.
func (d *Daemon) setPart() {
	own, others := d.roster.Work()
	d.part = (own + time.Second).Seconds() / (own + others + time.Second).Seconds()
}
