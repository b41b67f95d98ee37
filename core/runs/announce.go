package runs

import "time"

// Announced processes a target's announcement. The first one, or one of the present process, is applied at once; another process
// becomes the successor, which isn't used before Identified. It reports whether the target has changed.
func (r *Runs) Announced(now time.Time, l *Instance) bool {
	switch {
	case r.instance == nil && r.departed != nil && r.departed.Same(l):
		r.attach(r.departed) // its leave was late or not its own; what it said before still counts
		r.update(l)
		return true
	case r.instance == nil:
		r.attach(l)
		return true
	case r.instance.Same(l):
		r.update(l)
	default:
		r.successor = successor{instance: l, until: now.Add(successorTimeout)}
	}
	return false
}

// update applies an announcement of the present process. One that is older than the latest, contradicts what doesn't change while a
// process runs, or takes back that it drains may be late or come from another writer: it is set aside, and applied if the next one agrees.
func (r *Runs) update(l *Instance) {
	sameKind := r.instance.sameKind(l)
	older := l.Sequence < r.instance.Sequence
	plausible := sameKind && !older && (l.Draining || !r.instance.Draining)
	repeated := r.setAside != nil && r.setAside.sameKind(l) && l.Sequence > r.setAside.Sequence
	if r.instance.Draining && !l.Draining { // a late one and another writer's must not agree on that
		repeated = repeated && r.setAside.Sequence > r.instance.Sequence
	}
	next := *l
	switch {
	case plausible || repeated:
		next.Draining = l.Draining || older && r.instance.Draining
		r.setAside = nil
	case sameKind && l.Draining: // in no order of the announcements does a target drain only for a while
		next = *r.instance
		next.Draining = true
		r.setAside = l
	default:
		r.setAside = l
		return
	}
	if !sameKind {
		r.process++
	}
	changed := r.instance.Draining != next.Draining || !r.instance.SameCapacity(&next) || !sameKind
	r.instance = &next
	if changed {
		r.out.Changed()
	}
}

// attach makes a process the target; nothing is started there before its first list.
func (r *Runs) attach(l *Instance) {
	r.instance, r.setAside, r.confirmed = l, nil, false
	r.process++
	r.successor = successor{}
	r.out.Changed()
}

// Confirmed returns the target's latest announcement once its own list has shown that it comes from the process there, else nil.
func (r *Runs) Confirmed() *Instance {
	if !r.confirmed {
		return nil
	}
	return r.instance
}
