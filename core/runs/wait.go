package runs

import (
	"slices"
	"time"
)

const (
	// maxWaiting is how many orders may wait for room at the target: further ones are placed sooner at another target.
	maxWaiting = 1
	// roomWait is how long an order waits for room: about the time that an entry needs to place it elsewhere.
	roomWait = 10 * time.Millisecond
)

// waitingOrder is an order that arrived when there was no room for it.
type waitingOrder struct {
	owner string
	order *Order
	until time.Time
}

func (w *waitingOrder) key() attemptKey { return attemptKey{w.owner, w.order.Attempt} }

// enqueue queues an order until there is room, and reports whether it was queued.
func (r *Runs) enqueue(now time.Time, name string, o *Order) bool {
	if len(r.waiting) >= maxWaiting || o.Millicores > r.instance.Millicores || o.MemoryMB > r.instance.MemoryMB {
		return false
	}
	r.waiting = append(r.waiting, waitingOrder{owner: name, order: o, until: now.Add(roomWait)})
	r.out.Changed()
	return true
}

// startWaiting starts waiting orders, oldest first, while there is room, and refuses those that have waited too long.
func (r *Runs) startWaiting(now time.Time) {
	full := false
	for _, w := range r.takeWaiting() {
		how := r.refusal(now, r.owner(w.owner), w.order)
		switch {
		case how == "" && !full:
			r.start(now, w.owner, w.order)
		case (how == "" || how == NoRoom) && now.Before(w.until):
			full = true
			r.waiting = append(r.waiting, w)
		case how == "":
			r.reportEnd(now, w.key(), attemptEnd{how: NoRoom})
		default:
			r.reportEnd(now, w.key(), attemptEnd{how: how})
		}
	}
}

// takeWaiting returns the waiting orders and empties the queue.
func (r *Runs) takeWaiting() []waitingOrder {
	list := r.waiting
	r.waiting = nil
	return list
}

// dropWaiting refuses all waiting orders.
func (r *Runs) dropWaiting(now time.Time) {
	for _, w := range r.takeWaiting() {
		r.reportEnd(now, w.key(), attemptEnd{how: Refused})
	}
}

// waitingIndex returns the index of an attempt among the waiting orders, or -1.
func (r *Runs) waitingIndex(k attemptKey) int {
	return slices.IndexFunc(r.waiting, func(w waitingOrder) bool { return w.key() == k })
}
