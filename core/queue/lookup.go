package queue

// share returns the share of an item, creating it if needed. The number of kinds of a team is limited, so that a team
// can't evict the shares of others by inventing kinds.
func (q *Queue[T]) share(item *Item[T]) (*kind[T], error) {
	if k := q.find(item.Team, item.Kind); k != nil {
		return k, nil
	}
	if t, ok := q.teams[item.Team]; ok && len(t.kinds) >= maxKinds {
		oldest := t.idlest()
		if oldest == nil {
			return nil, q.refuse(item, TooManyShares, "kinds", int64(len(t.kinds)), maxKinds)
		}
		q.evict(oldest)
	}
	if q.shares >= maxShares && !q.evictIdlest() {
		return nil, q.refuse(item, TooManyShares, "shares", int64(q.shares), maxShares)
	}
	return q.kind(q.team(item.Team), item.Kind), nil
}

// idlest returns the inactive kind that was used least recently and isn't configured, or nil.
func (t *team[T]) idlest() *kind[T] {
	var oldest *kind[T]
	for _, k := range t.kinds {
		if k.configured || k.active {
			continue
		}
		if oldest == nil || k.lastUse < oldest.lastUse {
			oldest = k
		}
	}
	return oldest
}

func (q *Queue[T]) evictIdlest() bool {
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
	q.evict(oldest)
	return true
}

func (q *Queue[T]) evict(k *kind[T]) {
	t := k.team
	delete(t.kinds, k.name)
	t.weights.total -= k.weight
	q.shares--
	if len(t.kinds) == 0 && !t.configured {
		delete(q.teams, t.name)
		q.weights.total -= t.weight
	}
}
