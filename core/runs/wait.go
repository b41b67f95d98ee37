package runs

import (
	"slices"
	"time"
)

const (
	// maxWaiting is how many orders may wait for room at the target: more would be placed sooner elsewhere.
	maxWaiting = 1
	// roomWait is how long an order waits for room: about as long as an entry needs to place it anew.
	roomWait = 10 * time.Millisecond
)

// waiting is an order for which there was no room when it came.
type waiting struct {
	owner string
	order *Order
	until time.Time
}

func (w *waiting) key() attemptKey { return attemptKey{w.owner, w.order.Attempt} }

// park lets an order wait for room for a moment, and reports whether it may.
func (r *Runs) park(now time.Time, name string, o *Order) bool {
	if len(r.waiting) >= maxWaiting || o.Millicores > r.life.Millicores || o.MemoryMB > r.life.MemoryMB {
		return false
	}
	r.waiting = append(r.waiting, waiting{owner: name, order: o, until: now.Add(roomWait)})
	r.out.Changed()
	return true
}

// admit starts the orders that wait as far as there is room, in their turn, and refuses those that waited too long.
func (r *Runs) admit(now time.Time) {
	full := false
	for _, w := range r.takeWaiting() {
		how := r.barred(now, r.owner(w.owner), w.order)
		switch {
		case how == "" && !full:
			r.start(now, w.owner, w.order)
		case (how == "" || how == NoRoom) && now.Before(w.until):
			full = true
			r.waiting = append(r.waiting, w)
		case how == "":
			r.tell(now, w.key(), NoRoom, 0)
		default:
			r.tell(now, w.key(), how, 0)
		}
	}
}

// takeWaiting returns the orders that wait, which then don't any more.
func (r *Runs) takeWaiting() []waiting {
	list := r.waiting
	r.waiting = nil
	return list
}

// dropWaiting refuses all orders that wait.
func (r *Runs) dropWaiting(now time.Time) {
	for _, w := range r.takeWaiting() {
		r.tell(now, w.key(), Refused, 0)
	}
}

// waits returns the place of an attempt among the orders that wait, -1 if it is not there.
func (r *Runs) waits(k attemptKey) int {
	return slices.IndexFunc(r.waiting, func(w waiting) bool { return w.key() == k })
}
