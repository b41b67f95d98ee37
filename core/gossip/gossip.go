package gossip

import "time"

const (
	// retention is how long a notice is kept for connections that are still to get it.
	retention = 10 * time.Second
	// maxNotices bounds the notices that are kept, and maxBatch those that are sent at once; the others follow later.
	maxNotices = 4096
	maxBatch   = 256
)

type notice struct {
	id      string
	expires time.Time
}

// Gossip is a list of notices, oldest first; the zero value is empty.
type Gossip struct {
	notices []notice
	first   uint64 // the position of the oldest notice
	known   map[string]bool
}

// Add adds a notice and reports whether it is new.
func (g *Gossip) Add(now time.Time, id string) bool {
	g.expire(now)
	if g.known[id] {
		return false
	}
	if g.known == nil {
		g.known = make(map[string]bool)
	}
	g.known[id] = true
	g.notices = append(g.notices, notice{id, now.Add(retention)})
	if len(g.notices) > maxNotices {
		g.removeFirst(1)
	}
	return true
}

// After returns the notices from a position on, at most maxBatch, and the position after them. A new connection begins at position 0.
func (g *Gossip) After(now time.Time, pos uint64) ([]string, uint64) {
	g.expire(now)
	pos = max(pos, g.first)
	var ids []string
	for _, n := range g.notices[min(pos-g.first, uint64(len(g.notices))):] {
		if len(ids) == maxBatch {
			break
		}
		ids = append(ids, n.id)
	}
	return ids, pos + uint64(len(ids))
}

func (g *Gossip) expire(now time.Time) {
	n := 0
	for n < len(g.notices) && !now.Before(g.notices[n].expires) {
		n++
	}
	g.removeFirst(n)
}

func (g *Gossip) removeFirst(n int) {
	for _, old := range g.notices[:n] {
		delete(g.known, old.id)
	}
	g.notices = g.notices[n:]
	g.first += uint64(n)
}
