package queue

// SetWeight sets the weight of a kind inside its team; an empty kind sets the weight of the team among the teams.
// Weights below 1 count as 1. The share is known from now on.
func (q *Queue[T]) SetWeight(teamName, kindName string, weight int64) {
	q.init()
	weight = max(weight, 1)
	t := q.team(teamName)
	t.kept = true
	if kindName == "" {
		reweigh(&q.weights, &t.share, weight)
		return
	}
	k := q.kind(t, kindName)
	k.kept = true
	reweigh(&t.weights, &k.share, weight)
}

func reweigh(w *weights, s *share, weight int64) {
	change := weight - s.weight
	s.weight = weight
	w.known += change
	if s.active {
		w.active += change
	}
}

func (q *Queue[T]) team(name string) *team[T] {
	t, ok := q.teams[name]
	if !ok {
		t = newTeam[T](name, defaultWeight)
		q.teams[name] = t
		q.weights.known += t.weight
	}
	return t
}

func (q *Queue[T]) kind(t *team[T], name string) *kind[T] {
	k, ok := t.kinds[name]
	if !ok {
		k = newKind(t, name, defaultWeight)
		t.kinds[name] = k
		t.weights.known += k.weight
		q.shares++
	}
	return k
}

func (q *Queue[T]) find(teamName, kindName string) *kind[T] {
	t, ok := q.teams[teamName]
	if !ok {
		return nil
	}
	return t.kinds[kindName]
}

// teamPart returns the team's weight over the weights of all known teams, 0 to 1.
func (q *Queue[T]) teamPart(t *team[T]) float64 {
	return float64(t.weight) / float64(q.weights.known)
}

// part returns the kind's weight over the known weights of its team, 0 to 1.
func (k *kind[T]) part() float64 {
	return float64(k.weight) / float64(k.team.weights.known)
}

// setActive keeps the sums of the active weights after a change of what waits or runs.
func (q *Queue[T]) setActive(k *kind[T]) {
	t := k.team
	mark(&t.weights, &k.share, k.queued > 0 || k.running > 0)
	mark(&q.weights, &t.share, t.queued > 0 || t.running > 0)
}

func mark(w *weights, s *share, active bool) {
	if s.active == active {
		return
	}
	s.active = active
	if active {
		w.active += s.weight
		return
	}
	w.active -= s.weight
}
