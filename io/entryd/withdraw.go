package entryd

import (
	"time"

	"persimmonstage/io/wire"
)

// withdrawSoon sets a timer for the first batch of withdrawals, unless one is set.
func (d *Daemon) withdrawSoon() {
	next, ok := d.withdrawals.Next()
	if !ok || d.withdrawing {
		return
	}
	d.withdrawing = true
	time.AfterFunc(time.Until(next), func() { d.loop.Post(d.withdraw) })
}

// withdraw sends the batches that are due.
func (d *Daemon) withdraw(now time.Time) {
	d.withdrawing = false
	d.withdrawals.SendDue(now, d.withdrawAt)
	d.withdrawSoon()
}

// withdrawAt sends one agent a batch on its control connection.
func (d *Daemon) withdrawAt(agent string, attempts []uint64) {
	d.metrics.withdraws.Inc()
	if l := d.agents.byIncarnation[agent]; l != nil && l.conn != 0 {
		d.control.Send(l.conn, &wire.Frame{Body: &wire.Frame_Withdraw{Withdraw: &wire.Withdraw{Attempts: attempts}}})
	}
}
