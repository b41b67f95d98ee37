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
	// slotThousandths is the fraction of a target, in thousandths, that a task with one slot of eight takes.
	slotThousandths = 125
	hostThousandths = 1000.0
	// waitingPerSlot is how many tasks of unanswered jobs an entry accepts for each slot of the fleet; more would wait so long
	// that their memory and messages would be wasted.
	waitingPerSlot  = 64
	minWaiting      = 4096
	maxWaiting      = 1_000_000
	maxWaitingBytes = 512 << 20
	// taskOverhead is the memory that a task takes besides its payload, in bytes.
	taskOverhead = 512
)

// admit passes a new job through the admission gate. It returns the request and the time from which the team's quota covers the
// job, or the refusal of a job that can't be served.
func (d *Daemon) admit(now time.Time, j *job.Job) (*admit.Request, time.Time, *answer.Answer) {
	for i := range j.Tasks {
		if err := d.roster.CheckFits(j.Tasks[i].Needs); err != nil {
			a := answer.Refusal(answer.StatusMalformed, j.Key.ID, taskField(i)+err.Error(), "never-fits", 0)
			return nil, time.Time{}, &a
		}
	}
	urgency := d.rules.Load().Urgency(j.Key.Team, j.Kind)
	d.account.Update(func(t *tally.Tally) { t.JobSubmitted(now, j.Key.Team, j.Kind, urgency, len(j.Tasks)) })
	r := d.request(j)
	d.setFleetRate()
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

// request builds the gate's request for a job; the run time is the configured one or else an estimate for its kind.
func (d *Daemon) request(j *job.Job) admit.Request {
	r := admit.Request{
		Team: j.Key.Team, Kind: j.Kind, Tasks: int64(len(j.Tasks)), Size: slotThousandths, Issued: j.Issued, Deadline: j.Deadline,
	}
	declared, _ := d.rules.Load().ExpectedRunTime(j.Key.Team, j.Kind)
	r.Run = d.speeds.Expect(0, d.speeds.Kind(j.Kind), declared)
	for i := range j.Tasks {
		r.Bytes += int64(len(j.Tasks[i].Payload)) + taskOverhead
		r.Size = max(r.Size, int64(j.Tasks[i].Needs.Slots)*slotThousandths)
	}
	return r
}

func refusalStatus(reason string) int {
	if reason == admit.OverQuota || reason == admit.ShareFull {
		return answer.StatusTooMany
	}
	return answer.StatusUnavailable
}

// setFleetRate sets the gate's bounds, and its rate to this entry's fraction of all targets' work per second. It is cheap and is
// called before each decision, so that a target announced or lost just before is taken into account.
func (d *Daemon) setFleetRate() {
	members := 1
	if m := d.group.Map(); m != nil {
		members = max(m.Size(), 1)
	}
	slots := int64(d.roster.Total().Slots)
	d.gate.SetBounds(min(max(slots*waitingPerSlot, minWaiting), maxWaiting), maxWaitingBytes)
	d.gate.SetFleetRate(float64(d.roster.Hosts()) / hostThousandths * max(d.fleetFraction, 1/float64(members)))
}

// setFleetFraction computes this entry's fraction of the targets' work, which is 1 while the other entries have none there.
func (d *Daemon) setFleetFraction() {
	own, others := d.roster.Work()
	d.fleetFraction = (own + time.Second).Seconds() / (own + others + time.Second).Seconds()
}
