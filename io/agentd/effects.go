package agentd

import (
	"time"

	"persimmonstage/core/order"
	"persimmonstage/core/result"
	"persimmonstage/io/codec"
	"persimmonstage/io/uptime"
	"persimmonstage/io/wire"
)

// effects carries out the core's decisions; it is called on the loop.
type effects struct{ d *Daemon }

// Run sends a task to the target on its own goroutine.
func (e effects) Run(o *order.Order) {
	d := e.d
	d.metrics.starts.Inc()
	go func() {
		began := time.Now()
		out, err := d.target.Run(o)
		r := &result.Result{Key: o.Key, Index: o.Index, OK: err == nil, Output: out, Ran: time.Since(began)}
		if err != nil {
			r.Reason = err.Error()
		}
		d.loop.Post(func(now time.Time) { d.core.Ended(now, r) })
	}()
}

// Grant grants a reservation on the control connection.
func (e effects) Grant(owner string, attempt uint64) {
	if l := e.d.byIncarnation(owner); l != nil {
		e.d.control.Send(l.conn, &wire.Frame{Body: &wire.Frame_Grant{Grant: &wire.Grant{Attempt: attempt}}})
	}
}

// Refuse reports to the owner that an attempt was not started.
func (e effects) Refuse(owner string, attempt uint64, reason string) {
	e.d.metrics.refusals.Inc()
	if l := e.d.byIncarnation(owner); l != nil {
		l.box.Put(&wire.Bulk{Body: &wire.Bulk_Refused{Refused: &wire.Refused{
			Attempt: attempt, Reason: reason, Loads: codec.EncodeLoads(e.d.core.LoadOfOthers(owner)), Stamp: uptime.Stamp(),
		}}})
	}
}

// End sends a result to the entry that ordered the task, and to the shard's current owner if that is another entry; a result
// that can't be sent stays in the ledger until it is requested.
func (e effects) End(owner string, shard int, r *result.Result) {
	msg := &wire.Bulk{Body: &wire.Bulk_Result{Result: codec.EncodeResult(r)}}
	if l := e.d.byIncarnation(owner); l != nil {
		l.box.Put(msg)
	}
	m := e.d.fence.Map()
	if m == nil {
		return
	}
	if present := m.Owner(shard).Incarnation; present != owner {
		if l := e.d.byIncarnation(present); l != nil {
			l.box.Put(msg)
		}
	}
}
