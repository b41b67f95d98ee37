package agentd

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"persimmonstage/io/lease"
	"persimmonstage/io/loop"
)

// ends is the queue of leases to give back; what waits together is one request. A lease that can't be given back lapses, so
// that trying stops when its term is over.
type ends struct {
	mu   sync.Mutex
	keys map[string]time.Time // and until when to try
	wake chan struct{}
}

func (e *ends) put(key string, until time.Time) {
	e.mu.Lock()
	e.keys[key] = until
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// run gives leases back until ctx ends.
func (e *ends) run(ctx context.Context, client *lease.Client) {
	for ctx.Err() == nil {
		select {
		case <-e.wake:
		case <-ctx.Done():
		}
		for !e.flush(client) && ctx.Err() == nil {
			loop.Sleep(ctx, endRetry)
		}
	}
}

// flush gives back what waits and reports whether that is settled.
func (e *ends) flush(client *lease.Client) bool {
	batch := e.waiting(time.Now())
	if len(batch) == 0 {
		return true
	}
	if client.End(batch) != nil {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, key := range batch {
		delete(e.keys, key)
	}
	return true
}

// waiting gives the keys that wait, in order, and drops those whose term is over.
func (e *ends) waiting(now time.Time) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	maps.DeleteFunc(e.keys, func(_ string, until time.Time) bool { return !now.Before(until) })
	return slices.Sorted(maps.Keys(e.keys))
}
