package skip

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

const (
	// maxLogged bounds the number of items that are remembered as logged; further ones are only counted.
	maxLogged    = 256
	maxItemBytes = 64
)

type item struct{ source, name string }

// Reporter logs each skipped item once and counts every skip; it is safe for concurrent use.
type Reporter struct {
	log     *zap.Logger
	counter *prometheus.CounterVec
	mu      sync.Mutex
	logged  map[item]bool
}

// New returns a reporter whose counter is registered at reg.
func New(log *zap.Logger, reg prometheus.Registerer) *Reporter {
	r := &Reporter{log: log, logged: make(map[item]bool), counter: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "persimmonstage_skipped_items_total", Help: "Items of data written by others that were skipped as unusable.",
	}, []string{"source"})}
	reg.MustRegister(r.counter)
	return r
}

// Skip reports that an item of a source was skipped. The source is a label of the counter, so it is one of a few fixed names.
func (r *Reporter) Skip(source, name, reason string) {
	r.counter.WithLabelValues(source).Inc()
	name, reason = shorten(name), shorten(reason)
	r.mu.Lock()
	logged := r.logged[item{source, name}] || len(r.logged) >= maxLogged
	if !logged {
		r.logged[item{source, name}] = true
	}
	r.mu.Unlock()
	if !logged {
		r.log.Warn("item skipped", zap.String("source", source), zap.String("key", name), zap.String("error", reason))
	}
}

func shorten(s string) string { return s[:min(len(s), maxItemBytes)] }
