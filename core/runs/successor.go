package runs

import "time"

// successorTimeout is how long an announced process is tried to be identified: until after its next heartbeat.
const successorTimeout = 2 * time.Second

// successor is an announced process other than the target's present one. An announcement may be late or come from another writer, so it
// neither ends the present process nor is used before both are shown: the new process answers at its address, and the present one
// doesn't run any more.
type successor struct {
	instance *Instance
	until    time.Time // when it is given up unless it is announced again
	listing  *Listing  // what it answered at its address, nil if it hasn't yet
}

// Successor returns an announced process that is still to be identified, or nil.
func (r *Runs) Successor() *Instance {
	if r.successor.listing != nil {
		return nil
	}
	return r.successor.instance
}

// Identified processes the list of the process at a successor's address, and reports whether the target has changed.
func (r *Runs) Identified(now time.Time, l *Instance, listing *Listing) bool {
	switch {
	case r.successor.instance != l:
		return false
	case listing.Born != l.Born:
		r.successor = successor{}
		return false
	}
	r.successor.listing = listing
	return r.succeed(now)
}

// succeed replaces the target by its identified successor once the present process has ended: the successor has its port, or its lease
// has ended without an answer. It reports whether the target has changed.
func (r *Runs) succeed(now time.Time) bool {
	next, listing := r.successor.instance, r.successor.listing
	switch {
	case listing == nil:
		return false
	case r.instance == nil || r.lastAnswer.IsZero():
		r.attach(next)
	case r.instance.Addr == next.Addr:
		r.crash(now, next, listing)
	case len(r.runs) > 0 || !r.Silent(now):
		return false
	default:
		r.reset(now, lapsed, nil)
		r.attach(next)
	}
	return true
}

// expireSuccessor gives up an announced process that could not be used in time.
func (r *Runs) expireSuccessor(now time.Time) {
	if r.successor.instance != nil && now.After(r.successor.until) {
		r.successor = successor{}
	}
}
