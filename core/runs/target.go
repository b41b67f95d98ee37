package runs

import "time"

// Announced takes the target's word of itself and reports whether it is a new life, of which nothing is known.
func (r *Runs) Announced(now time.Time, l *Life) bool {
	if r.life != nil && r.life.same(l) {
		if l.Sequence < r.life.Sequence {
			return false
		}
		changed := r.life.Draining != l.Draining
		r.life = l
		if changed {
			r.out.Changed()
		}
		return false
	}
	if r.life != nil && l.Born < r.life.Born && now.Sub(r.answered) <= staleAfter {
		return false
	}
	r.life = l
	r.rebirth(now)
	return true
}

// rebirth ends all runs of the target's earlier life.
func (r *Runs) rebirth(now time.Time) {
	r.clean, r.ack, r.answered, r.extended = false, 0, time.Time{}, time.Time{}
	r.pace = pace{}
	clear(r.unknown)
	r.dropWaiting(now)
	for _, u := range r.sorted() {
		u.how = lapsed
		r.step(now, u, onReborn)
	}
	r.out.Changed()
}

// Down notes that nothing listens at the target's address any more: what ran there has ended with its process.
func (r *Runs) Down(now time.Time) {
	if r.life != nil {
		r.rebirth(now)
	}
}

// Gone notes that the target has left for good.
func (r *Runs) Gone(now time.Time) {
	if r.life == nil {
		return
	}
	r.life = nil
	r.rebirth(now)
}

// Life returns the target's present life, nil if there is none.
func (r *Runs) Life() *Life { return r.life }

// Leave refuses everything from now on; what runs goes on.
func (r *Runs) Leave(now time.Time) {
	r.leaving = true
	r.dropWaiting(now)
	r.out.Changed()
}

// Clean reports whether nothing of earlier processes of the agent can run at the target.
func (r *Runs) Clean() bool { return r.clean }

// usable reports whether the target may get work.
func (r *Runs) usable(now time.Time) bool {
	return r.life != nil && r.clean && !r.leaving && !r.life.Draining && now.Sub(r.answered) <= extendWithin
}

// scarcePart is the part of the target's cores below which free ones are scarce: about one task of many targets.
const scarcePart = 0.15

// Scarce reports whether hardly any of the target's cores are free, so that entries have to learn of each that is freed or taken.
func (r *Runs) Scarce() bool {
	if r.life == nil {
		return false
	}
	used, _ := r.used()
	return float64(used) > (1-scarcePart)*float64(r.life.Millicores)
}
