package roster

import (
	"time"

	"persimmonstage/core/needs"
	"persimmonstage/core/target"
)

// Announce adds or updates a target and returns its ID; the same incarnation keeps its ID and its load, a new one replaces the
// old one, which the second result reports.
func (r *Roster) Announce(name, incarnation, dataCentre, rack string, capacity needs.Vector, now time.Time) (target.ID, bool) {
	r.now = now
	if r.byName == nil {
		r.byName = map[string]uint32{}
	}
	i, found := r.byName[name]
	if !found {
		i = r.allocate()
		r.byName[name] = i
	}
	t := &r.rows[i]
	replaced := found && t.incarnation != incarnation
	if !found || replaced {
		r.unlist(i)
		r.uncountCapacity(t)
		*t = row{generation: t.generation + 1, known: true, name: name, incarnation: incarnation}
	}
	if t.capacity != capacity || t.dataCentre != dataCentre {
		r.unlist(i)
		r.uncountCapacity(t)
	}
	t.dataCentre = dataCentre
	t.rack = rack
	t.capacity = capacity
	if !t.counted && !t.leaving {
		r.countCapacity(t)
	}
	r.deadline[i] = now.Add(r.timeout())
	r.relist(i)
	return r.id(i), replaced
}

// Leave marks a target that announced that it is leaving: it gets no new work, and its work in flight still ends.
func (r *Roster) Leave(id target.ID) {
	if t := r.row(id); t != nil {
		t.leaving = true
		r.uncountCapacity(t)
		r.relist(uint32(id.Index()))
	}
}

// Remove deletes a target, for example when it has left; its IDs are no longer valid.
func (r *Roster) Remove(id target.ID) {
	t := r.row(id)
	if t == nil {
		return
	}
	i := uint32(id.Index())
	r.uncountCapacity(t)
	r.unlist(i)
	delete(r.byName, t.name)
	*t = row{generation: t.generation}
	r.deadline[i] = time.Time{}
	r.freeIndexes = append(r.freeIndexes, i)
}

// Eject takes a target out of placement, or puts it back.
func (r *Roster) Eject(id target.ID, out bool) {
	if t := r.row(id); t != nil {
		t.ejected = out
		r.relist(uint32(id.Index()))
	}
}

// Limit restricts a target to one of the entry's own tasks at a time, or lifts the restriction.
func (r *Roster) Limit(id target.ID, one bool) {
	if t := r.row(id); t != nil {
		t.limited = one
		r.relist(uint32(id.Index()))
	}
}

// Drain takes a target out of placement at an operator's request, or puts it back.
func (r *Roster) Drain(id target.ID, out bool) {
	if t := r.row(id); t != nil {
		t.drained = out
		r.relist(uint32(id.Index()))
	}
}

// Tick removes the targets whose heartbeat deadline has passed, and calls gone for each while its ID is still valid.
func (r *Roster) Tick(now time.Time, gone func(target.ID)) {
	r.now = now
	for i, d := range r.deadline {
		if d.IsZero() || now.Before(d) {
			continue
		}
		id := r.id(uint32(i))
		if gone != nil {
			gone(id)
		}
		r.Remove(id)
	}
	r.expireCapacities()
}

func (r *Roster) timeout() time.Duration {
	if r.heartbeatTimeout > 0 {
		return r.heartbeatTimeout
	}
	return defaultHeartbeatTimeout
}

// allocate returns an unused index.
func (r *Roster) allocate() uint32 {
	if n := len(r.freeIndexes); n > 0 {
		i := r.freeIndexes[n-1]
		r.freeIndexes = r.freeIndexes[:n-1]
		return i
	}
	r.rows = append(r.rows, row{})
	r.deadline = append(r.deadline, time.Time{})
	return uint32(len(r.rows) - 1)
}
