package schedd

import (
	"go.uber.org/zap"

	"persimmonstage/core/pairs"
	"persimmonstage/io/wire"
)

// maxBeside bounds the number of kinds or runs that a message of an agent lists, and maxRuns the number of runs of one kind.
const (
	maxBeside = 64
	maxRuns   = 1000
)

// KeepApart makes the daemon estimate which routes slow each other down on one target and keep them apart where there is room; it is called
// before Run.
func (d *Daemon) KeepApart() {
	d.keepsApart = true
	d.sched.KeepApart(d.pairChanged)
}

// pairChanged counts and logs that a pair of routes is kept apart or no longer is.
func (d *Daemon) pairChanged(c pairs.Change) {
	if c.Apart {
		d.metrics.pairs.Inc()
		d.metrics.pairsFound.Inc()
	} else {
		d.metrics.pairs.Dec()
	}
	d.log.Info("routes slow each other down", zap.Bool("apart", c.Apart), zap.String("slowed", c.Slowed), zap.String("by", c.By),
		zap.Float64("factor", c.Factor), zap.Float64("log-error", c.Error), zap.Float64("evidence", c.Evidence))
}

// apartKinds returns the kinds of which agents have to report where they run.
func (d *Daemon) apartKinds() []uint32 {
	var list []uint32
	for _, k := range d.sched.ApartKinds() {
		list = append(list, uint32(k))
	}
	return list
}

// shares returns what ran beside an attempt.
func shares(e *wire.RunEnd) []pairs.Share {
	const permille = 1000
	list := make([]pairs.Share, 0, len(e.BesideKinds))
	for i := range min(maxBeside, len(e.BesideKinds), len(e.BesidePermille)) {
		list = append(list, pairs.Share{Kind: pairs.Kind(e.BesideKinds[i]), Runs: min(maxRuns, float64(e.BesidePermille[i])/permille)})
	}
	return list
}

// kinds returns the kinds of the runs at a target.
func kinds(list []uint32) []pairs.Kind {
	if len(list) == 0 {
		return nil
	}
	out := make([]pairs.Kind, 0, len(list))
	for _, k := range list[:min(maxBeside, len(list))] {
		out = append(out, pairs.Kind(k))
	}
	return out
}
