package runs

import "time"

// successorTimeout is how long an announced process is tried to be identified: until after its next heartbeat.
const successorTimeout = 2 * time.Second

// successor is an announced process other than the target's present one. An announcement may be late or come from another writer, so it
// neither ends the present process nor is used before both are shown: the new process answers at its address, and the present one
// doesn't run any more.
type successor struct {
	instance   *Instance
	until      time.Time // when it is given up unless it is announced again
	identified bool      // it has answered at its address
}

// Successor returns an announced process that is still to be identified, or nil.
func (r *Runs) Successor() *Instance {
	if r.successor.identified {
		return nil
	}
	return r.successor.instance
}

// Identified processes the answer of the process at a successor's address, which was born at the given time, and reports whether the
// target has changed.
func (r *Runs) Identified(now time.Time, l *Instance, born int64) bool {
	switch {
	case r.successor.instance != l:
		return false
	case born != l.Born:
		r.successor = successor{}
		return false
	}
	r.successor.identified = true
	return r.succeed(now)
}

// succeed replaces the target by its identified successor once the present process has ended: the successor has its port, or its lease
// has ended without an answer. It reports whether the target has changed.
func (r *Runs) succeed(now time.Time) bool {
	next := r.successor.instance
	switch {
	case next == nil || !r.successor.identified:
		return false
	case r.instance == nil || r.lastAnswer.IsZero():
	case r.instance.Addr == next.Addr:
		r.crash(now)
	case len(r.runs) > 0 || !r.Silent(now):
		return false
	default:
		r.reset(now, lapsed, false)
	}
	r.attach(next)
	return true
}

// expireSuccessor gives up an announced process that could not be used in time.
func (r *Runs) expireSuccessor(now time.Time) {
	if r.successor.instance != nil && now.After(r.successor.until) {
		r.successor = successor{}
	}
}
