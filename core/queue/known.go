package queue

// share returns the share of an item, which is known from now on. A team has a bounded number of kinds, so that it
// can't push out the shares of others by inventing some.
func (q *Queue[T]) share(item *Item[T]) (*kind[T], error) {
	if k := q.find(item.Team, item.Kind); k != nil {
		return k, nil
	}
	if t, ok := q.teams[item.Team]; ok && len(t.kinds) >= maxKinds {
		oldest := t.idlest()
		if oldest == nil {
			return nil, q.refuse(item, TooManyShares, "kinds", int64(len(t.kinds)), maxKinds)
		}
		q.forget(oldest)
	}
	if q.shares >= maxShares && !q.forgetIdlest() {
		return nil, q.refuse(item, TooManyShares, "shares", int64(q.shares), maxShares)
	}
	return q.kind(q.team(item.Team), item.Kind), nil
}

// idlest returns the kind that was idle longest and that no setting names, or nil.
func (t *team[T]) idlest() *kind[T] {
	var oldest *kind[T]
	for _, k := range t.kinds {
		if k.kept || k.active {
			continue
		}
		if oldest == nil || k.lastUse < oldest.lastUse {
			oldest = k
		}
	}
	return oldest
}

func (q *Queue[T]) forgetIdlest() bool {
	var oldest *kind[T]
	for _, t := range q.teams {
		k := t.idlest()
		if k != nil && (oldest == nil || k.lastUse < oldest.lastUse) {
			oldest = k
		}
	}
	if oldest == nil {
		return false
	}
	q.forget(oldest)
	return true
}

func (q *Queue[T]) forget(k *kind[T]) {
	t := k.team
	delete(t.kinds, k.name)
	t.weights.known -= k.weight
	q.shares--
	if len(t.kinds) == 0 && !t.kept {
		delete(q.teams, t.name)
		q.weights.known -= t.weight
	}
}
