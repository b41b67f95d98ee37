package runsd

import (
	"time"

	"persimmonstage/core/evac"
	"persimmonstage/io/uptime"
)

// UpdateEvacuations takes marks of data centres from the named source.
func (d *Daemon) UpdateEvacuations(marks []evac.Mark, source string) {
	d.loop.Post(func(time.Time) { d.takeEvacuations(marks, source) })
}

// EvacuationsListed takes a full list of the data centres that are evacuated, up to a position in the log of the operators' requests.
func (d *Daemon) EvacuationsListed(listed []string, end int64, source string) {
	d.loop.Post(func(time.Time) { d.takeEvacuations(d.evacuations.Table().Missing(listed, end), source) })
}

// takeEvacuations merges marks; entries get what is new with their next heartbeats.
func (d *Daemon) takeEvacuations(marks []evac.Mark, source string) {
	if d.evacuations.Take(marks, source) {
		d.runs.EvacuationsChanged(uptime.Now())
	}
}
