package entryd

import (
	"time"

	"persimmonstage/io/wire"
)

// scheduleWithdrawals sets a timer for the first batch of withdrawals, unless one is already set.
func (d *Daemon) scheduleWithdrawals() {
	next, ok := d.withdrawals.Next()
	if !ok || d.withdrawTimerSet {
		return
	}
	d.withdrawTimerSet = true
	time.AfterFunc(time.Until(next), func() { d.loop.Post(d.sendWithdrawals) })
}

// sendWithdrawals sends the batches of withdrawals that are due.
func (d *Daemon) sendWithdrawals(now time.Time) {
	d.withdrawTimerSet = false
	d.withdrawals.SendDue(now, d.sendWithdrawal)
	d.scheduleWithdrawals()
}

// sendWithdrawal sends a batch of withdrawals to one agent on its control connection.
func (d *Daemon) sendWithdrawal(agent string, attempts []uint64) {
	d.metrics.withdraws.Inc()
	if l := d.agents.byIncarnation[agent]; l != nil && l.conn != 0 {
		d.control.Send(l.conn, &wire.Frame{Body: &wire.Frame_Withdraw{Withdraw: &wire.Withdraw{Attempts: attempts}}})
	}
}
