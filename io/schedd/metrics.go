package schedd

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the daemon's Prometheus metrics.
type metrics struct {
	jobs   *prometheus.CounterVec
	ends   *prometheus.CounterVec
	starts prometheus.Counter
	stops  prometheus.Counter
	moves  prometheus.Counter
	// outlasted counts attempts that ended when another entry could have been handed their job already.
	outlasted prometheus.Counter
	// claims counts the jobs that this entry has claimed, and claimed those that another one had claimed when they were submitted.
	claims  prometheus.Counter
	claimed prometheus.Counter
	// confinements counts both confinements and releases of routes.
	confinements prometheus.Counter
	// yielded counts jobs that were refused because less of their kind is served at other entries.
	yielded prometheus.Counter
	// pairs is the number of pairs of routes that are kept apart, and pairsFound counts those that began to be.
	pairs      prometheus.Gauge
	pairsFound prometheus.Counter
	waited     prometheus.Histogram
	response   *prometheus.HistogramVec
	// documentRequests counts requests to agents to read the operators' document, and documentAnswers those that were answered.
	documentRequests prometheus.Counter
	// strained counts jobs refused as this process was late, and callersMoved connections closed for it.
	strained        prometheus.Counter
	callersMoved    prometheus.Counter
	documentAnswers prometheus.Counter
}

const (
	firstBucket  = 0.005 // s
	bucketFactor = 2
	buckets      = 12
)

func newMetrics(reg prometheus.Registerer) *metrics {
	bounds := prometheus.ExponentialBuckets(firstBucket, bucketFactor, buckets)
	m := &metrics{
		jobs: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "persimmonstage_repeatable_jobs_total", Help: "Repeatable jobs ended, by fate.",
		}, []string{"fate"}),
		ends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "persimmonstage_attempts_ended_total", Help: "Attempts ended, by how.",
		}, []string{"how"}),
		starts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "persimmonstage_attempts_total", Help: "Attempts ordered.",
		}),
		stops: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "persimmonstage_attempt_stops_total", Help: "Attempts withdrawn.",
		}),
		moves: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "persimmonstage_tasks_moved_total", Help: "Attempts stopped in favour of another target.",
		}),
		outlasted: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "persimmonstage_attempts_outlasted_total",
			Help: "Attempts that ended after the time at which another entry may have been handed their job.",
		}),
		claims: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "persimmonstage_job_claims_total", Help: "Jobs claimed, as another entry may be handed them while they run here.",
		}),
		claimed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "persimmonstage_claimed_jobs_total", Help: "Jobs submitted while another entry claims them.",
		}),
		strained: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "persimmonstage_strained_refusals_total", Help: "Jobs refused as this process has too little processor time.",
		}),
		callersMoved: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "persimmonstage_callers_moved_total", Help: "Connections closed so that their callers use another entry.",
		}),
		confinements: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "persimmonstage_route_confinements_total", Help: "Routes confined to isolated targets because they crash targets, or released.",
		}),
		yielded: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "persimmonstage_jobs_yielded_total", Help: "Jobs refused because less of their kind is served at other entries.",
		}),
		pairs: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "persimmonstage_route_pairs_apart", Help: "Pairs of routes that are kept apart, as one slows the other down.",
		}),
		pairsFound: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "persimmonstage_route_pairs_found_total", Help: "Times that a pair of routes began to be kept apart.",
		}),
		waited: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "persimmonstage_repeatable_wait_seconds", Help: "Time from a job's arrival to its first start.", Buckets: bounds,
		}),
		response: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "persimmonstage_repeatable_response_seconds", Help: "Time from a job's arrival to its end, by fate.", Buckets: bounds,
		}, []string{"fate"}),
		documentRequests: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "persimmonstage_configuration_requests_total", Help: "Requests to agents to read the configuration from the store.",
		}),
		documentAnswers: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "persimmonstage_configuration_answers_total", Help: "Answers of agents that confirm a configuration as the newest.",
		}),
	}
	reg.MustRegister(m.jobs, m.ends, m.starts, m.stops, m.moves, m.outlasted, m.claims, m.claimed, m.confinements, m.yielded, m.pairs, m.pairsFound, m.strained, m.callersMoved,
		m.waited, m.response, m.documentRequests, m.documentAnswers)
	return m
}
