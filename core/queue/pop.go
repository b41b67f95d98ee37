package queue

import "math"

// Pop takes out the next item that fits. The function fits says whether an item can start now; within is false when
// the item would run on capacity that its share borrows from others. Call Done with the item when it has ended.
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
		passed = append(passed, q.waiting.Remove(t.place))
		limit = min(limit, t.start+held/float64(t.weight))
		if math.IsInf(held, 1) {
			t.enter(q.now, 0)
		}
	}
	for i, t := range passed {
		q.waiting.Push(t)
		passed[i] = nil
	}
	q.passedTeams = passed[:0]
	return found
}

// pickKind does the same inside a team; held is the least cost of an item that waits for room, or infinite. An item
// that only isn't lent capacity waits for its own share: it holds up nobody, and the share gets no credit for it.
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
		e.item.borrows = q.greedy(k)
		lent := !e.item.borrows || q.loan.lends(e.item.size(), k.expected(&e.item))
		if lent && fits(&e.item, !e.item.borrows) {
			found = e
			break
		}
		passed = append(passed, t.waiting.Remove(k.place))
		if !lent || e.item.borrows && fits(&e.item, true) {
			k.enter(t.now, 0)
			continue
		}
		cost := e.item.cost(k.expected(&e.item))
		held = min(held, cost)
		limit = min(limit, k.start+cost/float64(k.weight))
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
	cost := e.item.cost(k.expected(&e.item))
	e.item.charged = cost
	q.now = max(q.now, t.start)
	t.now = max(t.now, k.start)
	t.charge(cost)
	k.charge(cost)
	q.waiting.Fix(t.place)
	t.waiting.Fix(k.place)
	q.loan.start(e.item.size(), e.item.borrows)
	k.running += e.item.size()
	t.running += e.item.size()
}

// greedy reports whether a share runs its part of the host and has a backlog besides. A kind above its own part borrows
// from other teams only when its team runs its part too; before that it takes what its team leaves.
func (q *Queue[T]) greedy(k *kind[T]) bool {
	team := q.teamPart(k.team) * wholeHost
	return float64(k.team.running) >= team &&
		float64(k.running) >= team*k.part() &&
		k.behind() >= q.rate(k)*greedyBacklog.Seconds()
}
