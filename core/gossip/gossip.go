package gossip

import "time"

const (
	// retention is how long a notice is kept for connections that are still to get it.
	retention = 10 * time.Second
	// maxNotices bounds the notices that are kept, and maxBatch those that are sent at once; the others follow later.
	maxNotices = 4096
	maxBatch   = 256
)

type notice[T comparable] struct {
	id      T
	expires time.Time
}

// Gossip is a list of notices, oldest first, each named by its id; the zero value is empty.
type Gossip[T comparable] struct {
	notices []notice[T]
	first   uint64 // the position of the oldest notice
	known   map[T]bool
}

// Add adds a notice and reports whether it is new.
func (g *Gossip[T]) Add(now time.Time, id T) bool {
	g.expire(now)
	if g.known[id] {
		return false
	}
	if g.known == nil {
		g.known = make(map[T]bool)
	}
	g.known[id] = true
	g.notices = append(g.notices, notice[T]{id, now.Add(retention)})
	if len(g.notices) > maxNotices {
		g.removeFirst(1)
	}
	return true
}

// Known reports whether a notice is kept.
func (g *Gossip[T]) Known(now time.Time, id T) bool {
	g.expire(now)
	return g.known[id]
}

// After returns the notices from a position on, at most maxBatch, and the position after them. A new connection begins at position 0.
func (g *Gossip[T]) After(now time.Time, pos uint64) ([]T, uint64) {
	g.expire(now)
	pos = max(pos, g.first)
	var ids []T
	for _, n := range g.notices[min(pos-g.first, uint64(len(g.notices))):] {
		if len(ids) == maxBatch {
			break
		}
		ids = append(ids, n.id)
	}
	return ids, pos + uint64(len(ids))
}

func (g *Gossip[T]) expire(now time.Time) {
	n := 0
	for n < len(g.notices) && !now.Before(g.notices[n].expires) {
		n++
	}
	g.removeFirst(n)
}

func (g *Gossip[T]) removeFirst(n int) {
	for _, old := range g.notices[:n] {
		delete(g.known, old.id)
	}
	g.notices = g.notices[n:]
	g.first += uint64(n)
}
