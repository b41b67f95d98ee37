package admit

import "time"

// share returns the share of a request, which is known from now on, or nil when there are too many. A team has a
// bounded number of kinds, so that it can't push out the shares of others by inventing some.
func (g *Gate) share(teamName, kindName string, now time.Time) *kind {
	g.init()
	t, ok := g.teams[teamName]
	if ok {
		if k, ok := t.kinds[kindName]; ok {
			k.seen = now
			return k
		}
	}
	if ok && len(t.kinds) >= maxKinds {
		oldest := t.idlest()
		if oldest == nil {
			return nil
		}
		g.forget(oldest)
	}
	if g.shares >= maxShares && !g.forgetIdlest() {
		return nil
	}
	k := g.kind(g.team(teamName), kindName)
	k.seen = now
	return k
}

// idlest returns the kind that was idle longest and that no setting names, or nil.
func (t *team) idlest() *kind {
	var oldest *kind
	for _, k := range t.kinds {
		if k.kept || k.active {
			continue
		}
		if oldest == nil || k.seen.Before(oldest.seen) {
			oldest = k
		}
	}
	return oldest
}

func (g *Gate) forgetIdlest() bool {
	var oldest *kind
	for _, t := range g.teams {
		k := t.idlest()
		if k != nil && (oldest == nil || k.seen.Before(oldest.seen)) {
			oldest = k
		}
	}
	if oldest == nil {
		return false
	}
	g.forget(oldest)
	return true
}

func (g *Gate) forget(k *kind) {
	t := k.team
	delete(t.kinds, k.name)
	t.weights.known -= k.weight
	g.shares--
	if len(t.kinds) == 0 && !t.kept {
		delete(g.teams, t.name)
		g.weights.known -= t.weight
	}
}
