package cancel

import "time"

const (
	// maxHold is how long a cancellation waits for others; a grant that crosses it is wasted, so it is short.
	maxHold = 2 * time.Millisecond
	// maxIDs is the number of attempts in one message.
	maxIDs = 512
)

// Batch holds cancellations per agent until they are due; the zero value is ready.
type Batch struct {
	agents map[string]*wave
	order  []*wave // by the time of the first cancellation
}

// wave is what waits for one agent.
type wave struct {
	agent string
	ids   []uint64
	held  map[uint64]struct{}
	due   time.Time
}

// Add takes cancellations of an agent's attempts; an attempt that waits already is taken once.
func (b *Batch) Add(agent string, ids []uint64, now time.Time) {
	if len(ids) == 0 {
		return
	}
	w := b.wave(agent, now)
	for _, id := range ids {
		if _, ok := w.held[id]; ok {
			continue
		}
		w.held[id] = struct{}{}
		w.ids = append(w.ids, id)
	}
	if len(w.ids) >= maxIDs {
		w.due = now
	}
}

// Forget drops what waits for an agent that has left.
func (b *Batch) Forget(agent string) {
	w, ok := b.agents[agent]
	if !ok {
		return
	}
	w.ids = nil
	delete(b.agents, agent)
}

// Next returns when Due has something to send; ok is false when nothing waits.
func (b *Batch) Next() (next time.Time, ok bool) {
	for _, w := range b.order {
		if len(w.ids) > 0 && (!ok || w.due.Before(next)) {
			next, ok = w.due, true
		}
	}
	return next, ok
}

// SendDue passes what is due to send, in the order of the first cancellations; ids is the callee's to keep.
func (b *Batch) SendDue(now time.Time, send func(agent string, ids []uint64)) {
	rest := b.order[:0]
	for _, w := range b.order {
		if len(w.ids) > 0 && w.due.After(now) {
			rest = append(rest, w)
			continue
		}
		b.flush(w, send)
	}
	clear(b.order[len(rest):])
	b.order = rest
}

func (b *Batch) flush(w *wave, send func(agent string, ids []uint64)) {
	if b.agents[w.agent] == w {
		delete(b.agents, w.agent)
	}
	for len(w.ids) > 0 {
		n := min(len(w.ids), maxIDs)
		send(w.agent, w.ids[:n:n])
		w.ids = w.ids[n:]
	}
}

func (b *Batch) wave(agent string, now time.Time) *wave {
	if w, ok := b.agents[agent]; ok {
		return w
	}
	if b.agents == nil {
		b.agents = map[string]*wave{}
	}
	w := &wave{agent: agent, held: map[uint64]struct{}{}, due: now.Add(maxHold)}
	b.agents[agent] = w
	b.order = append(b.order, w)
	return w
}
