package queue

// SetWeight sets the weight of a kind within its team, or of the team among the teams when the kind is empty.
// Weights below 1 count as 1. The share is known from then on and is never evicted.
func (q *Queue[T]) SetWeight(teamName, kindName string, weight int64) {
	q.init()
	weight = max(weight, 1)
	t := q.team(teamName)
	t.configured = true
	if kindName == "" {
		setWeight(&q.weights, &t.share, weight)
		return
	}
	k := q.kind(t, kindName)
	k.configured = true
	setWeight(&t.weights, &k.share, weight)
}

func setWeight(w *weightSums, s *share, weight int64) {
	change := weight - s.weight
	s.weight = weight
	w.total += change
	if s.active {
		w.active += change
	}
}

func (q *Queue[T]) team(name string) *team[T] {
	t, ok := q.teams[name]
	if !ok {
		t = newTeam[T](name, defaultWeight)
		q.teams[name] = t
		q.weights.total += t.weight
	}
	return t
}

func (q *Queue[T]) kind(t *team[T], name string) *kind[T] {
	k, ok := t.kinds[name]
	if !ok {
		k = newKind(t, name, defaultWeight)
		t.kinds[name] = k
		t.weights.total += k.weight
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

// teamFraction returns the team's weight over the weights of all known teams, 0 to 1.
func (q *Queue[T]) teamFraction(t *team[T]) float64 {
	return float64(t.weight) / float64(q.weights.total)
}

// fraction returns the kind's weight over the known weights of its team, 0 to 1.
func (k *kind[T]) fraction() float64 {
	return float64(k.weight) / float64(k.team.weights.total)
}

// updateActive updates the sums of active weights after a change in what waits or runs.
func (q *Queue[T]) updateActive(k *kind[T]) {
	t := k.team
	setActive(&t.weights, &k.share, k.queued > 0 || k.running > 0)
	setActive(&q.weights, &t.share, t.queued > 0 || t.running > 0)
}

func setActive(w *weightSums, s *share, active bool) {
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
