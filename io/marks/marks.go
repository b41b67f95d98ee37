package marks

import (
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"persimmonstage/core/evac"
	"persimmonstage/io/wire"
)

// Marks is a daemon's table of evacuated data centres; create it with New. It is used by one goroutine.
type Marks struct {
	table evac.Table
	log   *zap.Logger
	gauge prometheus.Gauge
}

// New returns an empty table whose size is a metric of reg.
func New(log *zap.Logger, reg prometheus.Registerer) *Marks {
	m := &Marks{log: log, gauge: prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "persimmonstage_evacuated_data_centres", Help: "Data centres that this process knows to be evacuated.",
	})}
	reg.MustRegister(m.gauge)
	return m
}

// Table returns the table.
func (m *Marks) Table() *evac.Table { return &m.table }

// Take merges marks from the named source and reports whether this changes which data centres are evacuated.
func (m *Marks) Take(list []evac.Mark, source string) bool {
	news := false
	for _, mark := range list {
		changed, err := m.table.Set(mark)
		if err != nil {
			m.log.Warn("evacuation not taken", zap.String("source", source), zap.String("error", err.Error()))
			continue
		}
		if changed {
			news = true
			m.log.Info("evacuation in force", zap.String("data-centre", mark.DataCentre), zap.Bool("evacuated", mark.Evacuated),
				zap.Int64("offset", mark.Offset), zap.String("source", source))
		}
	}
	if news {
		m.gauge.Set(float64(len(m.table.Evacuated())))
	}
	return news
}

// Since returns the marks that were taken after a connection's position, which it advances.
func (m *Marks) Since(position *uint64) []*wire.Evacuation {
	list, next := m.table.After(*position)
	*position = next
	return wire.NewEvacuations(list)
}
