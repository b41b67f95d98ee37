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

// endQueue is the queue of leases to release; queued leases are sent in one request. A lease that can't be released expires by
// itself, so retries stop at the end of its term.
type endQueue struct {
	mu   sync.Mutex
	keys map[string]time.Time // lease key to the time at which retries stop
	wake chan struct{}
}

func (e *endQueue) put(key string, until time.Time) {
	e.mu.Lock()
	e.keys[key] = until
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// run releases queued leases until ctx ends.
func (e *endQueue) run(ctx context.Context, client *lease.Client) {
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

// flush releases the queued leases and reports whether that succeeded.
func (e *endQueue) flush(client *lease.Client) bool {
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

// waiting returns the queued keys in order and drops those whose term is over.
func (e *endQueue) waiting(now time.Time) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	maps.DeleteFunc(e.keys, func(_ string, until time.Time) bool { return !now.Before(until) })
	return slices.Sorted(maps.Keys(e.keys))
}
