package schedd

import (
	"time"

	"go.uber.org/zap"

	"persimmonstage/core/evac"
	"persimmonstage/io/uptime"
	"persimmonstage/io/wire"
)

// UpdateEvacuations takes marks of data centres from the named source.
func (d *Daemon) UpdateEvacuations(marks []evac.Mark, source string) {
	d.loop.Post(func(time.Time) { d.takeEvacuations(uptime.Now(), marks, source) })
}

// EvacuationsListed takes a full list of the data centres that are evacuated, up to a position in the log of the operators' requests.
func (d *Daemon) EvacuationsListed(listed []string, end int64, source string) {
	d.loop.Post(func(time.Time) { d.takeEvacuations(uptime.Now(), d.evacuations.Missing(listed, end), source) })
}

// takeEvacuations merges marks; agents get what is new with their next heartbeats' answers.
func (d *Daemon) takeEvacuations(now time.Time, marks []evac.Mark, source string) {
	news := false
	for _, m := range marks {
		changed, err := d.evacuations.Set(m)
		if err != nil {
			d.log.Warn("evacuation not taken", zap.String("source", source), zap.String("error", err.Error()))
			continue
		}
		if changed {
			news = true
			d.log.Info("evacuation in force", zap.String("data-centre", m.DataCentre), zap.Bool("evacuated", m.Evacuated),
				zap.Int64("offset", m.Offset), zap.String("source", source))
		}
	}
	if news {
		d.metrics.evacuated.Set(float64(len(d.evacuations.Evacuated())))
		d.sched.EvacuationsChanged(now)
	}
}

// evacuationsFor returns the marks that an agent hasn't been sent on its connection.
func (d *Daemon) evacuationsFor(l *link) []*wire.Evacuation {
	marks, position := d.evacuations.After(l.evacuatedPos)
	l.evacuatedPos = position
	return wire.NewEvacuations(marks)
}
