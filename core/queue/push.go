package queue

import "persimmonstage/core/bound"

// Push adds an item, or returns a *FullError without adding it.
func (q *Queue[T]) Push(item Item[T]) error {
	q.init()
	if _, ok := q.entries[item.Key]; ok {
		return &FullError{Reason: DuplicateKey, Team: item.Team, Kind: item.Kind, Key: item.Key}
	}
	k, err := q.checkBounds(&item)
	if err != nil {
		return err
	}
	e := q.newEntry(item, k)
	q.entries[item.Key] = e
	if !item.Deadline.IsZero() {
		q.deadlines.Push(e)
	}
	q.enqueue(e)
	return nil
}

// checkBounds finds the share of an item and checks its bounds.
func (q *Queue[T]) checkBounds(item *Item[T]) (*kind[T], error) {
	k, err := q.share(item)
	if err != nil {
		return nil, err
	}
	n := int64(len(q.entries))
	if q.itemBound.Full(n, 1) {
		return nil, q.refuse(item, QueueFull, "items", n, q.itemBound.Limit())
	}
	if q.byteBound.Full(q.bytes, item.Bytes) {
		return nil, q.refuse(item, QueueFull, "bytes", q.bytes, q.byteBound.Limit())
	}
	if !q.itemBound.Admits(q.boundRequest(k, n, k.team.queued, k.queued, 1)) {
		return nil, q.refuse(item, ShareFull, "items", k.queued, q.itemBound.Limit())
	}
	if !q.byteBound.Admits(q.boundRequest(k, q.bytes, k.team.bytes, k.bytes, item.Bytes)) {
		return nil, q.refuse(item, ShareFull, "bytes", k.bytes, q.byteBound.Limit())
	}
	return k, nil
}

func (q *Queue[T]) boundRequest(k *kind[T], total, teamHeld, kindHeld, add int64) bound.Request {
	return bound.Request{
		Total: total, Team: teamHeld, Kind: kindHeld, Add: add,
		TeamFraction: q.teamFraction(k.team),
		KindFraction: k.fraction(),
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
	if last := len(q.freeEntries) - 1; last >= 0 {
		e = q.freeEntries[last]
		q.freeEntries = q.freeEntries[:last]
	} else {
		e = new(entry[T])
	}
	*e = entry[T]{item: item, kind: k, seq: q.seq, deadlineIndex: -1}
	return e
}

// enqueue adds an entry to its share, and the share to the waiting ones.
func (q *Queue[T]) enqueue(e *entry[T]) {
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
	if k.index < 0 {
		k.resetTag(t.virtualTime, idleCredit*q.teamFraction(t)/float64(t.weights.total))
		t.waiting.Push(k)
	}
	if t.index < 0 {
		t.resetTag(q.virtualTime, idleCredit/float64(q.weights.total))
		q.waiting.Push(t)
	}
	q.updateActive(k)
}

// dequeue removes an entry from all structures; the entry itself stays readable.
func (q *Queue[T]) dequeue(e *entry[T]) {
	k := e.kind
	t := k.team
	delete(q.entries, e.item.Key)
	k.items.Remove(e.index)
	if e.deadlineIndex >= 0 {
		q.deadlines.Remove(e.deadlineIndex)
	}
	k.queued--
	t.queued--
	k.bytes -= e.item.Bytes
	t.bytes -= e.item.Bytes
	q.bytes -= e.item.Bytes
	k.backlog -= e.item.cost(e.item.Run)
	if k.queued == 0 {
		k.backlog = 0
		t.waiting.Remove(k.index)
	}
	if t.queued == 0 {
		q.waiting.Remove(t.index)
	}
	q.updateActive(k)
}

// recycle returns the item of an entry and keeps the entry's memory for a later push.
func (q *Queue[T]) recycle(e *entry[T]) Item[T] {
	item := e.item
	*e = entry[T]{}
	if len(q.freeEntries) < maxShares {
		q.freeEntries = append(q.freeEntries, e)
	}
	return item
}
