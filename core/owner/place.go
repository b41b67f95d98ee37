package owner

import (
	"time"

	"persimmonstage/core/order"
	"persimmonstage/core/place"
	"persimmonstage/core/target"
)

// PlaceWaiting places waiting tasks for which there is room, in order of arrival. It examines a bounded number of them, since
// it runs at every end of a task and any number may be waiting during an overload.
func (o *Owner) PlaceWaiting(now time.Time) {
	failures, examined := 0, 0
	var still []ref
	for examined < len(o.waiting) && examined < maxExamined && failures < placeFailures {
		at := o.waiting[examined]
		examined++
		switch {
		case !at.rec.running() || at.rec.tasks[at.index].state != stateWaiting:
		case !o.gate.MayStart(at.rec.key().Team):
			still = append(still, at)
		case !o.placeTask(now, at):
			failures++
			still = append(still, at)
		}
	}
	first := examined - len(still)
	copy(o.waiting[first:examined], still)
	clear(o.waiting[:first])
	o.waiting = o.waiting[first:]
	o.rotate(len(still))
}

// rotate moves the blocked tasks to the end of the queue when every examined task is blocked, so that the next pass examines
// the tasks behind them.
func (o *Owner) rotate(blocked int) {
	if blocked < maxExamined {
		return
	}
	head := append([]ref(nil), o.waiting[:blocked]...)
	o.waiting = append(o.waiting[blocked:], head...)
}

func (o *Owner) ask(r *record) place.Request {
	team := r.key().Team
	return place.Request{
		Team: team, TeamFraction: o.gate.FleetFraction(team), Kind: r.job.Kind, DataCentre: r.job.DataCentre, Deadline: r.job.Deadline,
	}
}

func (o *Owner) declaredRun(r *record) time.Duration {
	return o.declared[r.job.Key.Team+"/"+r.job.Kind]
}

func (o *Owner) placeJob(now time.Time, r *record) {
	ask := o.ask(r)
	o.placeTasks = o.placeTasks[:0]
	var index []int
	for i := range r.tasks {
		if r.tasks[i].state != stateWaiting {
			continue
		}
		if o.gate.MayStart(r.key().Team) {
			index = append(index, i)
			o.placeTasks = append(o.placeTasks, place.Task{Needs: r.job.Tasks[i].Needs, Declared: o.declaredRun(r)})
		} else {
			o.waiting = append(o.waiting, ref{rec: r, index: i})
		}
	}
	ask.Tasks = o.placeTasks
	o.choices = o.placer.Place(now, o.rng, &ask, o.choices[:0])
	for n, i := range index {
		o.retries.Started(now)
		c := &o.choices[n]
		if c.Waits() {
			o.waiting = append(o.waiting, ref{rec: r, index: i})
			continue
		}
		o.send(now, r, i, c)
	}
}

func (o *Owner) placeTask(now time.Time, at ref) bool {
	ask := o.ask(at.rec)
	t := &at.rec.tasks[at.index]
	ask.Attempt, ask.Delay = t.busyRefusals, t.delay
	if t.reason == busy {
		ask.Avoid = t.last
	}
	o.placeTasks = append(o.placeTasks[:0], place.Task{Needs: at.rec.job.Tasks[at.index].Needs, Declared: o.declaredRun(at.rec)})
	ask.Tasks = o.placeTasks
	o.choices = o.placer.Place(now, o.rng, &ask, o.choices[:0])
	if o.choices[0].Waits() {
		return false
	}
	o.send(now, at.rec, at.index, &o.choices[0])
	return true
}

func (o *Owner) send(now time.Time, r *record, i int, c *place.Choice) {
	t := &r.tasks[i]
	t.booked, t.wait, t.work, t.maxWait, t.delay = c.Target(), c.Wait(), c.Work(), c.MaxWait(), c.Delay()
	t.last = t.booked
	for _, id := range c.Reserve() {
		o.attempt(r, i, id)
	}
	if len(c.Reserve()) > 0 {
		o.taskEvent(now, r, i, onReserve)
		return
	}
	o.attempt(r, i, c.Target())
	o.taskEvent(now, r, i, onStart)
}

func (o *Owner) attempt(r *record, i int, to target.ID) {
	o.next++
	t := &r.tasks[i]
	t.attempts = append(t.attempts, attempt{id: o.next, to: to, agent: o.bookings.Incarnation(to), name: o.bookings.Name(to)})
	o.attempts[o.next] = ref{rec: r, index: i}
}

func (o *Owner) order(r *record, i int, a *attempt) *order.Order {
	t := &r.job.Tasks[i]
	return &order.Order{
		Attempt: a.id, Key: r.key(), Index: i, Shard: r.shard, Epoch: r.epoch, Kind: r.job.Kind,
		Needs: t.Needs, Deadline: r.job.Deadline, Expected: r.tasks[i].work, Payload: t.Payload, Digest: r.digest,
		MaxWait: r.tasks[i].maxWait, Delay: r.tasks[i].delay,
	}
}
