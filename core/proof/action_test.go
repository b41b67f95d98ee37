package proof

import "fmt"

// action is one possible next step of a history. Faults and submissions are limited in number by their name; steps of time,
// sends and deliveries only by the depth of the search.
type action struct {
	name  string
	limit int // how often it may be taken in one history, 0 for no limit
	apply func(w *world)
}

func (w *world) take(a action) *world {
	c := w.clone()
	if a.limit > 0 {
		c.taken[a.name]++
	}
	a.apply(c)
	c.check()
	return c
}

// nextActions returns the actions of the owners, agents and callers that are possible now.
func (w *world) nextActions(submits int) []action {
	var all []action
	for i := range w.inFlight {
		m := w.inFlight[i]
		if w.cut(m.from, m.to) {
			continue
		}
		all = append(all, action{name: fmt.Sprintf("deliver %d", i), apply: func(w *world) { w.deliver(i, false) }})
	}
	for n, e := range w.entries {
		if !w.running(e) {
			continue
		}
		for i := range w.jobs {
			if at := e.assignments[i]; at != nil && !at.sent {
				all = append(all, w.sendActions(n, i)...)
			}
		}
	}
	for i := range w.jobs {
		if name := fmt.Sprintf("submit %d", i); w.taken[name] < submits {
			all = append(all, w.submitActions(name, i, submits)...)
		}
	}
	return append(all, action{name: "advance", apply: func(w *world) { w.advance() }})
}

func (w *world) sendActions(n, i int) []action {
	var all []action
	for a := range w.agents {
		name := fmt.Sprintf("%s sends job %d to %s", w.entries[n].self().Incarnation, i, w.agents[a].ident().Name)
		all = append(all, action{name: name, apply: func(w *world) { w.send(i, w.entries[n], w.agents[a]) }})
	}
	return all
}

// submitActions submits a job to each entry that considers itself the owner of its shard; other entries would forward it there.
func (w *world) submitActions(name string, i, limit int) []action {
	var all []action
	for n, e := range w.entries {
		if _, ok := e.owned[w.jobs[i].shard]; ok && w.running(e) && e.assignments[i] == nil {
			all = append(all, action{name: name, limit: limit, apply: func(w *world) { w.submit(i, w.entries[n]) }})
		}
	}
	return all
}

// faultActions returns the scenario's faults that haven't reached their limit.
func (w *world) faultActions(from []action) []action {
	var all []action
	for _, a := range from {
		if w.taken[a.name] < a.limit {
			all = append(all, a)
		}
	}
	return all
}

func once(name string, apply func(w *world)) action {
	return action{name: name, limit: 1, apply: apply}
}

func kill(e int) action {
	return once(fmt.Sprint("kill ", e), func(w *world) { w.entries[e].up = false })
}

func restart(e int) action {
	return once(fmt.Sprint("restart ", e), func(w *world) { w.boot(w.entries[e]) })
}

func freeze(e int) action {
	return once(fmt.Sprint("freeze ", e), func(w *world) { w.entries[e].frozen = true })
}

func resume(e int) action {
	return once(fmt.Sprint("resume ", e), func(w *world) { w.entries[e].frozen = false })
}

func cutLinks(name string, pairs ...[2]int) action {
	return once("cut "+name, func(w *world) {
		for _, p := range pairs {
			w.cuts[p] = true
		}
	})
}

func bothWays(a, b int) [][2]int { return [][2]int{{a, b}, {b, a}} }

func heal() action {
	return once("heal", func(w *world) { w.cuts = map[[2]int]bool{} })
}

// delayAnswer holds back an entry's next answer to an agent, to be delivered at any later time.
func delayAnswer(x, e int) action {
	return once(fmt.Sprintf("delay answer of %d to %d", e, x), func(w *world) { w.agents[x].delayFrom = e })
}

func restartAgent(x int) action {
	return once(fmt.Sprint("restart agent ", x), func(w *world) { w.bootAgent(w.agents[x]) })
}

// duplicate delivers the first start in flight and keeps a copy for later.
func duplicate() action {
	return once("duplicate", func(w *world) {
		for i, m := range w.inFlight {
			if m.job >= 0 && !w.cut(m.from, m.to) {
				w.deliver(i, true)
				return
			}
		}
	})
}

func failAppend(e int, how string) action {
	return once(fmt.Sprintf("lose append of %d: %s", e, how), func(w *world) { w.entries[e].appendFault = how })
}
