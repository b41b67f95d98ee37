package queue

import "persimmonstage/core/bound"

// Push adds an item, or returns a *FullError and leaves the queue as it was.
func (q *Queue[T]) Push(item Item[T]) error {
	q.init()
	if _, ok := q.entries[item.Key]; ok {
		return &FullError{Reason: DuplicateKey, Team: item.Team, Kind: item.Kind, Key: item.Key}
	}
	k, err := q.room(&item)
	if err != nil {
		return err
	}
	e := q.newEntry(item, k)
	q.entries[item.Key] = e
	if !item.Deadline.IsZero() {
		q.due.Push(e)
	}
	q.join(e)
	return nil
}

// room finds the share of an item and checks its bounds.
func (q *Queue[T]) room(item *Item[T]) (*kind[T], error) {
	k, err := q.share(item)
	if err != nil {
		return nil, err
	}
	n := int64(len(q.entries))
	if q.items.Full(n, 1) {
		return nil, q.refuse(item, QueueFull, "items", n, q.items.Limit())
	}
	if q.memory.Full(q.bytes, item.Bytes) {
		return nil, q.refuse(item, QueueFull, "bytes", q.bytes, q.memory.Limit())
	}
	if !q.items.Admits(q.ask(k, n, k.team.queued, k.queued, 1)) {
		return nil, q.refuse(item, ShareFull, "items", k.queued, q.items.Limit())
	}
	if !q.memory.Admits(q.ask(k, q.bytes, k.team.bytes, k.bytes, item.Bytes)) {
		return nil, q.refuse(item, ShareFull, "bytes", k.bytes, q.memory.Limit())
	}
	return k, nil
}

func (q *Queue[T]) ask(k *kind[T], total, teamHeld, kindHeld, add int64) bound.Request {
	return bound.Request{
		Total: total, Team: teamHeld, Kind: kindHeld, Add: add,
		TeamFraction: q.teamPart(k.team),
		KindFraction: k.part(),
	}
}

func (q *Queue[T]) refuse(item *Item[T], reason, unit string, held, limit int64) error {
	return &FullError{
		Reason: reason, Team: item.Team, Kind: item.Kind, Key: item.Key,
		Unit: unit, Held: held, Limit: limit,
	}
}

func (q *Queue[T]) newEntry(item Item[T], k *kind[T]) *entry[T] {
	q.seq++
	var e *entry[T]
	if last := len(q.free) - 1; last >= 0 {
		e = q.free[last]
		q.free = q.free[:last]
	} else {
		e = new(entry[T])
	}
	*e = entry[T]{item: item, kind: k, seq: q.seq, due: -1}
	return e
}

// join puts an entry into its share and the share among those that wait.
func (q *Queue[T]) join(e *entry[T]) {
	k := e.kind
	t := k.team
	k.items.Push(e)
	k.queued++
	t.queued++
	k.bytes += e.item.Bytes
	t.bytes += e.item.Bytes
	q.bytes += e.item.Bytes
	k.backlog += e.item.cost(e.item.Run)
	k.lastUse = q.seq
	if k.place < 0 {
		k.enter(t.now, idleCredit*q.teamPart(t)/float64(t.weights.known))
		t.waiting.Push(k)
	}
	if t.place < 0 {
		t.enter(q.now, idleCredit/float64(q.weights.known))
		q.waiting.Push(t)
	}
	q.setActive(k)
}

// leave takes an entry out of everything but keeps it readable.
func (q *Queue[T]) leave(e *entry[T]) {
	k := e.kind
	t := k.team
	delete(q.entries, e.item.Key)
	k.items.Remove(e.place)
	if e.due >= 0 {
		q.due.Remove(e.due)
	}
	k.queued--
	t.queued--
	k.bytes -= e.item.Bytes
	t.bytes -= e.item.Bytes
	q.bytes -= e.item.Bytes
	k.backlog -= e.item.cost(e.item.Run)
	if k.queued == 0 {
		k.backlog = 0
		t.waiting.Remove(k.place)
	}
	if t.queued == 0 {
		q.waiting.Remove(t.place)
	}
	q.setActive(k)
}

// recycle keeps the memory of an entry for a later push.
func (q *Queue[T]) recycle(e *entry[T]) Item[T] {
	item := e.item
	*e = entry[T]{}
	if len(q.free) < maxShares {
		q.free = append(q.free, e)
	}
	return item
}
