package admit

import "time"

// share returns the share of a request, creating it if needed, or nil when there are too many. The number of kinds of a
// team is limited, so that a team can't evict the shares of others by inventing kinds.
func (g *Gate) share(teamName, kindName string, now time.Time) *kind {
	g.init()
	t, ok := g.teams[teamName]
	if ok {
		if k, ok := t.kinds[kindName]; ok {
			k.lastUse = now
			return k
		}
	}
	if ok && len(t.kinds) >= maxKinds {
		oldest := t.idlest()
		if oldest == nil {
			return nil
		}
		g.evict(oldest)
	}
	if g.shares >= maxShares && !g.evictIdlest() {
		return nil
	}
	k := g.kind(g.team(teamName), kindName)
	k.lastUse = now
	return k
}

// idlest returns the inactive kind that was used least recently and isn't configured, or nil.
func (t *team) idlest() *kind {
	var oldest *kind
	for _, k := range t.kinds {
		if k.configured || k.active {
			continue
		}
		if oldest == nil || k.lastUse.Before(oldest.lastUse) {
			oldest = k
		}
	}
	return oldest
}

func (g *Gate) evictIdlest() bool {
	var oldest *kind
	for _, t := range g.teams {
		k := t.idlest()
		if k != nil && (oldest == nil || k.lastUse.Before(oldest.lastUse)) {
			oldest = k
		}
	}
	if oldest == nil {
		return false
	}
	g.evict(oldest)
	return true
}

func (g *Gate) evict(k *kind) {
	t := k.team
	delete(t.kinds, k.name)
	t.weights.total -= k.weight
	g.shares--
	if len(t.kinds) == 0 && !t.configured {
		delete(g.teams, t.name)
		g.weights.total -= t.weight
	}
}
