package queue

import "math"

// Pop removes and returns the next item that fits. The function fits reports whether an item can start now; within is
// false when the item would run on capacity borrowed from other shares. Call Done when the item has ended.
func (q *Queue[T]) Pop(fits func(item *Item[T], within bool) bool) (Item[T], bool) {
	q.init()
	e := q.pickTeam(fits)
	if e == nil {
		var none Item[T]
		return none, false
	}
	q.serve(e)
	q.dequeue(e)
	return q.recycle(e), true
}

// pickTeam tries the teams in the order of their tags, up to the least finish tag of an item that waits for capacity.
func (q *Queue[T]) pickTeam(fits func(*Item[T], bool) bool) *entry[T] {
	var found *entry[T]
	limit := math.Inf(1)
	bypassed := q.bypassedTeams[:0]
	for q.waiting.Len() > 0 {
		t := q.waiting.Min()
		if t.startTag > limit {
			break
		}
		e, blocked := q.pickKind(t, fits)
		if e != nil {
			found = e
			break
		}
		bypassed = append(bypassed, q.waiting.Remove(t.index))
		limit = min(limit, t.startTag+blocked/float64(t.weight))
		if math.IsInf(blocked, 1) {
			t.resetTag(q.virtualTime, 0)
		}
	}
	for i, t := range bypassed {
		q.waiting.Push(t)
		bypassed[i] = nil
	}
	q.bypassedTeams = bypassed[:0]
	return found
}

// pickKind does the same within a team; blocked is the least cost of an item that waits for capacity, or infinite. An
// item that may not borrow waits for its own share: it doesn't block other shares, and its share gets no credit meanwhile.
func (q *Queue[T]) pickKind(t *team[T], fits func(*Item[T], bool) bool) (found *entry[T], blocked float64) {
	blocked = math.Inf(1)
	limit := math.Inf(1)
	bypassed := q.bypassedKinds[:0]
	for t.waiting.Len() > 0 {
		k := t.waiting.Min()
		if k.startTag > limit {
			break
		}
		e := k.items.Min()
		e.item.borrows = q.mustBorrow(k)
		allowed := !e.item.borrows || q.lending.allows(e.item.size(), k.expectedRun(&e.item))
		if allowed && fits(&e.item, !e.item.borrows) {
			found = e
			break
		}
		bypassed = append(bypassed, t.waiting.Remove(k.index))
		if !allowed || e.item.borrows && fits(&e.item, true) {
			k.resetTag(t.virtualTime, 0)
			continue
		}
		cost := e.item.cost(k.expectedRun(&e.item))
		blocked = min(blocked, cost)
		limit = min(limit, k.startTag+cost/float64(k.weight))
	}
	for i, k := range bypassed {
		t.waiting.Push(k)
		bypassed[i] = nil
	}
	q.bypassedKinds = bypassed[:0]
	return found, blocked
}

// serve charges the expected cost of an entry and advances virtual time.
func (q *Queue[T]) serve(e *entry[T]) {
	k := e.kind
	t := k.team
	cost := e.item.cost(k.expectedRun(&e.item))
	e.item.charged = cost
	q.virtualTime = max(q.virtualTime, t.startTag)
	t.virtualTime = max(t.virtualTime, k.startTag)
	t.charge(cost)
	k.charge(cost)
	q.waiting.Fix(t.index)
	t.waiting.Fix(k.index)
	q.lending.start(e.item.size(), e.item.borrows)
	k.running += e.item.size()
	t.running += e.item.size()
}

// mustBorrow reports whether a share uses its fraction of the host and has a backlog too. A kind above its own fraction
// borrows from other teams only when its team also uses its fraction; until then it takes what its team leaves unused.
func (q *Queue[T]) mustBorrow(k *kind[T]) bool {
	team := q.teamFraction(k.team) * wholeHost
	return float64(k.team.running) >= team &&
		float64(k.running) >= team*k.fraction() &&
		k.backlogBehindHead() >= q.rate(k)*borrowBacklog.Seconds()
}
