package cancel

import "time"

const (
	// maxDelay is how long a cancellation waits for others; it is short because a grant that crosses it is wasted.
	maxDelay = 2 * time.Millisecond
	// maxIDs is the largest number of attempts in one message.
	maxIDs = 512
)

// Batch holds cancellations per agent until they are due; the zero value is ready.
type Batch struct {
	agents map[string]*agentBatch
	order  []*agentBatch // by the time of the first cancellation
}

// agentBatch holds the pending cancellations of one agent.
type agentBatch struct {
	agent   string
	ids     []uint64
	pending map[uint64]struct{}
	due     time.Time
}

// Add adds cancellations of an agent's attempts; an attempt that is already pending is ignored.
func (b *Batch) Add(agent string, ids []uint64, now time.Time) {
	if len(ids) == 0 {
		return
	}
	w := b.agentBatch(agent, now)
	for _, id := range ids {
		if _, ok := w.pending[id]; ok {
			continue
		}
		w.pending[id] = struct{}{}
		w.ids = append(w.ids, id)
	}
	if len(w.ids) >= maxIDs {
		w.due = now
	}
}

// Forget drops the pending cancellations of an agent that has left.
func (b *Batch) Forget(agent string) {
	w, ok := b.agents[agent]
	if !ok {
		return
	}
	w.ids = nil
	delete(b.agents, agent)
}

// Next returns when SendDue has something to send; ok is false when nothing is pending.
func (b *Batch) Next() (next time.Time, ok bool) {
	for _, w := range b.order {
		if len(w.ids) > 0 && (!ok || w.due.Before(next)) {
			next, ok = w.due, true
		}
	}
	return next, ok
}

// SendDue sends the batches that are due, in the order of their first cancellations; send may keep ids.
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

func (b *Batch) flush(w *agentBatch, send func(agent string, ids []uint64)) {
	if b.agents[w.agent] == w {
		delete(b.agents, w.agent)
	}
	for len(w.ids) > 0 {
		n := min(len(w.ids), maxIDs)
		send(w.agent, w.ids[:n:n])
		w.ids = w.ids[n:]
	}
}

func (b *Batch) agentBatch(agent string, now time.Time) *agentBatch {
	if w, ok := b.agents[agent]; ok {
		return w
	}
	if b.agents == nil {
		b.agents = map[string]*agentBatch{}
	}
	w := &agentBatch{agent: agent, pending: map[uint64]struct{}{}, due: now.Add(maxDelay)}
	b.agents[agent] = w
	b.order = append(b.order, w)
	return w
}
