package runs

import "time"

// Announced takes the target's word of itself and reports whether it is a new life, of which nothing is known.
func (r *Runs) Announced(now time.Time, l *Instance) bool {
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
		r.step(now, u, onRestarted)
	}
	r.out.Changed()
}

// TargetDown notes that nothing listens at the target's address any more: what ran there has ended with its process.
func (r *Runs) TargetDown(now time.Time) {
	if r.life != nil {
		r.rebirth(now)
	}
}

// TargetLeft notes that the target has left for good.
func (r *Runs) TargetLeft(now time.Time) {
	if r.life == nil {
		return
	}
	r.life = nil
	r.rebirth(now)
}

// Instance returns the target's present life, nil if there is none.
func (r *Runs) Instance() *Instance { return r.life }

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

// scarceSlots is how many tasks there has to be room for at least for it not to be scarce.
const scarceSlots = 3

// taken returns what runs take and waiting orders will take of the target.
func (r *Runs) taken() (millicores, memoryMB uint64) {
	millicores, memoryMB = r.used()
	for _, w := range r.waiting {
		millicores += w.order.Millicores
		memoryMB += w.order.MemoryMB
	}
	return millicores, memoryMB
}

// needWeight is the weight of one order in the mean of what orders need.
const needWeight = 0.1

// require takes an order into the mean of what orders need.
func (r *Runs) require(o *Order) {
	if r.need == 0 {
		r.need = float64(o.Millicores)
	}
	r.need += needWeight * (float64(o.Millicores) - r.need)
}
