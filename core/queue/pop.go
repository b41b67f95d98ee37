package queue

import "math"

// Pop takes out the next item that fits. The function fits says whether an item can start now; within is true when the
// item's share runs less than its part of the host, so that it may use capacity that is held back from the others.
// Call Done when the item has ended.
func (q *Queue[T]) Pop(fits func(item *Item[T], within bool) bool) (Item[T], bool) {
	q.init()
	e := q.pickTeam(fits)
	if e == nil {
		var none Item[T]
		return none, false
	}
	q.serve(e)
	q.leave(e)
	return q.recycle(e), true
}

// pickTeam tries the teams in the order of their tags and stops at the finish tag of an item that waits for room.
func (q *Queue[T]) pickTeam(fits func(*Item[T], bool) bool) *entry[T] {
	var found *entry[T]
	limit := math.Inf(1)
	passed := q.passedTeams[:0]
	for q.waiting.Len() > 0 {
		t := q.waiting.Min()
		if t.start > limit {
			break
		}
		e, held := q.pickKind(t, fits)
		if e != nil {
			found = e
			break
		}
		limit = min(limit, t.start+held/float64(t.weight))
		passed = append(passed, q.waiting.Remove(t.place))
	}
	for i, t := range passed {
		q.waiting.Push(t)
		passed[i] = nil
	}
	q.passedTeams = passed[:0]
	return found
}

// pickKind does the same inside a team; held is the cost of the first item that waits for room, or infinite.
func (q *Queue[T]) pickKind(t *team[T], fits func(*Item[T], bool) bool) (found *entry[T], held float64) {
	held = math.Inf(1)
	limit := math.Inf(1)
	passed := q.passedKinds[:0]
	for t.waiting.Len() > 0 {
		k := t.waiting.Min()
		if k.start > limit {
			break
		}
		e := k.items.Min()
		within := q.within(k)
		if fits(&e.item, within) {
			found = e
			break
		}
		// An item that is only kept from the spare capacity waits for its own share to shrink and holds up nobody.
		if within || !fits(&e.item, true) {
			cost := e.item.cost(e.item.Run)
			held = min(held, cost)
			limit = min(limit, k.start+cost/float64(k.weight))
		}
		passed = append(passed, t.waiting.Remove(k.place))
	}
	for i, k := range passed {
		t.waiting.Push(k)
		passed[i] = nil
	}
	q.passedKinds = passed[:0]
	return found, held
}

// serve charges the expected cost of an entry and moves virtual time on.
func (q *Queue[T]) serve(e *entry[T]) {
	k := e.kind
	t := k.team
	cost := e.item.cost(e.item.Run)
	q.now = max(q.now, t.start)
	t.now = max(t.now, k.start)
	t.charge(cost)
	k.charge(cost)
	q.waiting.Fix(t.place)
	t.waiting.Fix(k.place)
	k.running += e.item.size()
	t.running += e.item.size()
}

// within reports whether a share runs less than its part of the host.
func (q *Queue[T]) within(k *kind[T]) bool {
	return float64(k.running) < q.teamPart(k.team)*k.part()*wholeHost
}
