package roster

import (
	"time"

	"persimmonstage/core/needs"
	"persimmonstage/core/target"
)

// Announce enters a target and returns its ID; the same incarnation keeps its ID and its load, a new one replaces the
// old, and whether it did is the second result.
func (r *Roster) Announce(name, incarnation, dataCentre, rack string, capacity needs.Vector, now time.Time) (target.ID, bool) {
	r.now = now
	if r.byName == nil {
		r.byName = map[string]uint32{}
	}
	i, found := r.byName[name]
	if !found {
		i = r.take()
		r.byName[name] = i
	}
	t := &r.rows[i]
	replaced := found && t.incarnation != incarnation
	if !found || replaced {
		r.unlist(i)
		r.uncount(t)
		*t = row{generation: t.generation + 1, known: true, name: name, incarnation: incarnation}
	}
	if t.capacity != capacity || t.dataCentre != dataCentre {
		r.unlist(i)
		r.uncount(t)
	}
	t.dataCentre = dataCentre
	t.rack = rack
	t.capacity = capacity
	if !t.counted && !t.leaving {
		r.count(t)
	}
	r.deadline[i] = now.Add(r.patience())
	r.relist(i)
	return r.id(i), replaced
}

// Leave marks a target that said it is leaving: it gets no new work, and its work in flight still ends.
func (r *Roster) Leave(id target.ID) {
	if t := r.row(id); t != nil {
		t.leaving = true
		r.uncount(t)
		r.relist(uint32(id.Index()))
	}
}

// Remove forgets a target, for example when it has left; IDs of it are void from then on.
func (r *Roster) Remove(id target.ID) {
	t := r.row(id)
	if t == nil {
		return
	}
	i := uint32(id.Index())
	r.uncount(t)
	r.unlist(i)
	delete(r.byName, t.name)
	*t = row{generation: t.generation}
	r.deadline[i] = time.Time{}
	r.spare = append(r.spare, i)
}

// Eject takes a target out of placement, or puts it back.
func (r *Roster) Eject(id target.ID, out bool) {
	if t := r.row(id); t != nil {
		t.ejected = out
		r.relist(uint32(id.Index()))
	}
}

// Limit lets a target have only one of the entry's own tasks at a time, or as many as fit.
func (r *Roster) Limit(id target.ID, one bool) {
	if t := r.row(id); t != nil {
		t.limited = one
		r.relist(uint32(id.Index()))
	}
}

// Drain takes a target out of placement for as long as operators want it, or puts it back.
func (r *Roster) Drain(id target.ID, out bool) {
	if t := r.row(id); t != nil {
		t.drained = out
		r.relist(uint32(id.Index()))
	}
}

// Tick removes the targets whose deadline for a heartbeat has passed, and calls gone with each before its ID is void.
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
	r.forgetSizes()
}

func (r *Roster) patience() time.Duration {
	if r.silence > 0 {
		return r.silence
	}
	return defaultSilence
}

// take returns an unused index.
func (r *Roster) take() uint32 {
	if n := len(r.spare); n > 0 {
		i := r.spare[n-1]
		r.spare = r.spare[:n-1]
		return i
	}
	r.rows = append(r.rows, row{})
	r.deadline = append(r.deadline, time.Time{})
	return uint32(len(r.rows) - 1)
}
