package entryd

import (
	"time"

	"persimmonstage/core/answer"
	"persimmonstage/core/eject"
	"persimmonstage/core/jobkey"
	"persimmonstage/core/order"
	"persimmonstage/core/target"
	"persimmonstage/io/codec"
	"persimmonstage/io/uptime"
	"persimmonstage/io/wire"
)

// notConnected is the refusal reason of an attempt that was never sent.
const notConnected = "not-connected"

// shardLease reports whether this entry may serve a shard.
type shardLease struct{ d *Daemon }

// Holds reports whether no other entry can have begun to serve the shard.
func (l shardLease) Holds(shard int) bool { return l.d.group.Holds(uptime.Now(), shard) }

// effects carries out the owner's decisions; it is called on the loop.
type effects struct{ d *Daemon }

// Start queues an order in the agent's outbox; without a connection it refuses the attempt, since it was never sent.
func (e effects) Start(agent string, o *order.Order) {
	e.d.metrics.starts.Inc()
	if !e.put(agent, &wire.Bulk{Body: &wire.Bulk_Start{Start: codec.EncodeStart(o)}}) {
		e.d.refuseLater(o.Attempt)
	}
}

// Reserve sends a reservation on the control connection.
func (e effects) Reserve(agent string, o *order.Order) {
	e.d.metrics.reserves.Inc()
	l := e.d.agents.byIncarnation[agent]
	frame := &wire.Frame{Body: &wire.Frame_Reserve{Reserve: codec.EncodeReserve(o)}}
	if l != nil && l.conn != 0 && e.d.control.Send(l.conn, frame) {
		return
	}
	e.d.refuseLater(o.Attempt)
}

// Withdraw batches a withdrawal briefly, so that those of one job or of many jobs ending together share a message per agent.
func (e effects) Withdraw(agent string, attempts []uint64) {
	e.d.withdrawals.Add(agent, attempts, time.Now())
	e.d.scheduleWithdrawals()
}

// Query queries an agent for attempts whose answers may be lost.
func (e effects) Query(agent string, attempts []uint64) {
	e.d.metrics.queries.Inc()
	e.put(agent, &wire.Bulk{Body: &wire.Bulk_Query{Query: &wire.Query{Attempts: attempts}}})
}

// Repeat requests the result of an earlier owner's task from an agent; for a disconnected agent, that happens on reconnection.
func (e effects) Repeat(agent string, shard int, key jobkey.Key, index int) {
	e.put(agent, &wire.Bulk{Body: &wire.Bulk_Repeat{Repeat: &wire.Repeat{
		Team: key.Team, Id: key.ID, Index: uint32(index), Shard: uint32(shard),
	}}})
}

func (e effects) put(agent string, m *wire.Bulk) bool {
	l := e.d.agents.byIncarnation[agent]
	return l != nil && l.box != nil && l.box.Put(m)
}

// StartSent reports a sent start and its expected run time to the failure detector.
func (e effects) StartSent(id target.ID, expected time.Duration) {
	e.d.detector.Sent(id, expected, time.Now())
}

// StartDropped reports to the failure detector that a start is no longer expected to end.
func (e effects) StartDropped(id target.ID) { e.d.detector.Dropped(id) }

// StartEnded reports the outcome to the failure detector and, on success, updates the run-time estimates.
func (e effects) StartEnded(now time.Time, id target.ID, kind string, expected, ran time.Duration, ok bool) {
	if !ok {
		e.d.detector.Ended(id, kind, eject.Failed, now)
		return
	}
	e.d.detector.Ended(id, kind, eject.Succeeded, now)
	e.d.speeds.Learn(id, kind, expected, ran)
	e.d.roster.SetSpeedFactor(id, e.d.speeds.Factor(id))
}

// JobEnded counts the end of a job.
func (e effects) JobEnded(
	now time.Time, key jobkey.Key, kind string, tasks int, accepted, deadline time.Time, ideal time.Duration, a *answer.Answer,
) {
	e.d.countJob(now, key, kind, tasks, accepted, deadline, ideal, a)
	e.d.metrics.jobs.WithLabelValues(a.Outcome).Inc()
	e.d.metrics.response.Observe(now.Sub(accepted).Seconds())
}

// refuseLater refuses an attempt that was never sent, after the step that created it.
func (d *Daemon) refuseLater(attempt uint64) {
	go d.loop.Post(func(now time.Time) { d.owner.Refused(now, attempt, notConnected) })
}
