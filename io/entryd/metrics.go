package entryd

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
)

// metrics holds the entry's metrics.
type metrics struct {
	registry       *prometheus.Registry
	handler        fasthttp.RequestHandler
	jobs           *prometheus.CounterVec
	response       prometheus.Histogram
	starts         prometheus.Counter
	reserves       prometheus.Counter
	withdraws      prometheus.Counter
	queries        prometheus.Counter
	refusedByAgent prometheus.Counter
	malformed      prometheus.Counter
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: "persimmonstage_entry_" + name, Help: help})
}

func newMetrics(d *Daemon) *metrics {
	r := prometheus.NewRegistry()
	m := &metrics{
		registry: r,
		handler:  fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(r, promhttp.HandlerOpts{})),
		jobs: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "persimmonstage_entry_jobs_total", Help: "Jobs ended, by outcome.",
		}, []string{"outcome"}),
		response: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "persimmonstage_entry_response_seconds", Help: "Time from a job's acceptance to its answer.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 14),
		}),
		starts:         counter("starts_total", "Orders sent to agents."),
		reserves:       counter("reserves_total", "Reservations sent to agents."),
		withdraws:      counter("withdraws_total", "Withdrawals sent to agents."),
		queries:        counter("queries_total", "Questions to agents about attempts whose answers may be lost."),
		refusedByAgent: counter("agent_refusals_total", "Attempts that agents refused before their start."),
		malformed:      counter("malformed_total", "Submissions refused because they could not be decoded."),
	}
	r.MustRegister(m.jobs, m.response, m.starts, m.reserves, m.withdraws, m.queries, m.refusedByAgent, m.malformed,
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "persimmonstage_control_bytes_total", Help: "Bytes on control connections, both ways.",
		}, func() float64 {
			in, out := d.control.Bytes()
			return float64(in + out)
		}),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "persimmonstage_entry_jobs_past_deadline", Help: "Jobs open past their deadline; must be 0.",
		}, func() float64 { return float64(d.overdue.Load()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "persimmonstage_entry_log_up", Help: "1 while the platform's log can be read, else 0.",
		}, func() float64 {
			if d.logUp.Load() {
				return 1
			}
			return 0
		}))
	return m
}
