package runsd

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the daemon's counters.
type metrics struct {
	ends    *prometheus.CounterVec
	starts  *prometheus.CounterVec
	polls   *prometheus.CounterVec
	stops   prometheus.Counter
	crashes prometheus.Counter
	// documentReads counts reads of the operators' document for entries, by outcome.
	documentReads *prometheus.CounterVec
}

func vec(name, help, label string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, []string{label})
}

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		ends:          vec("persimmonstage_runs_ended_total", "Attempts ended, by how.", "how"),
		starts:        vec("persimmonstage_runs_starts_total", "Starts called at the target, by its answer.", "answer"),
		polls:         vec("persimmonstage_runs_looks_total", "Looks at the target, by outcome.", "outcome"),
		documentReads: vec("persimmonstage_configuration_reads_total", "Reads of the configuration for entries, by outcome.", "outcome"),
		stops: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "persimmonstage_runs_stops_total", Help: "Stops called at the target.",
		}),
		crashes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "persimmonstage_target_crashes_total", Help: "Crashes of the target while tasks ran there.",
		}),
	}
	reg.MustRegister(m.ends, m.starts, m.polls, m.stops, m.crashes, m.documentReads)
	return m
}
