package proof

import (
	"fmt"
	"slices"

	"persimmonstage/core/group"
	"persimmonstage/core/recov"
)

// updateRecoveries begins, advances and releases recoveries as the owner's I/O code does after each step of its group.
func (w *world) updateRecoveries(e *entry) {
	if w.flaw == noSeal && e.g.Map() != nil {
		for _, one := range e.g.Map().Members() {
			e.g.HandleHeartbeat(w.now, group.Heartbeat{From: one, Version: maxVersion})
		}
		for _, o := range e.g.Map().Unsealed() {
			for _, one := range o.Members {
				e.g.HandleHeartbeat(w.now, group.Heartbeat{From: one, Version: maxVersion})
			}
		}
	}
	gains := map[int]group.Gain{}
	for _, gain := range e.g.Gains() {
		gains[gain.Shard] = gain
		if e.owned[gain.Shard] != gain {
			w.beginRecovery(e, gain)
		}
		w.queryAgents(e, gain)
	}
	for shard, gain := range e.owned {
		if _, ok := gains[shard]; !ok {
			w.release(e, gain)
		}
	}
	e.owned = gains
	w.handOver(e)
}

func (w *world) beginRecovery(e *entry, gain group.Gain) {
	e.recoveries[gain.Shard] = recov.New(recov.Config{
		Shard: gain.Shard, Epoch: gain.Epoch, Version: gain.Version, First: gain.First, AnswerTimeout: coarseStep,
	})
	w.owners[tenure{gain.Shard, gain.Epoch}] = e.self().Incarnation
	w.dropJobs(e, gain.Shard)
}

// dropJobs discards a shard's jobs that were accepted under an earlier epoch.
func (w *world) dropJobs(e *entry, shard int) {
	for i := range e.assignments {
		if w.jobs[i].shard == shard {
			delete(e.assignments, i)
		}
	}
}

func (w *world) queryAgents(e *entry, gain group.Gain) {
	r := e.recoveries[gain.Shard]
	if at, ok := e.g.Fenced(w.now, gain.Version); ok {
		r.SetFenced(at)
	} else if w.flaw == noFence {
		r.SetFenced(w.now)
	}
	agents, complete := e.g.Agents(gain.Version)
	switch w.flaw {
	case noQuery:
		agents, complete = nil, true
	case noRoster:
		complete = true
	}
	r.AddAgents(agents, complete)
	for _, who := range r.Unanswered() {
		for _, x := range w.agents {
			if x.ident() != who || !w.connected(x.node, e.node) {
				continue
			}
			x.fence.Adopt(e.g.Map())
			r.AddAnswer(who, x.fence.Version(), x.ledger.Shard(gain.Shard))
		}
	}
}

// release queues the release of a lost shard for handOver.
func (w *world) release(e *entry, gain group.Gain) {
	r := e.recoveries[gain.Shard]
	rel := recov.Release{Shard: gain.Shard, Epoch: gain.Epoch, Complete: r.Served(), Jobs: r.SentJobs()}
	for i, at := range e.assignments {
		if w.jobs[i].shard == gain.Shard && len(at.agents) > 0 {
			rel.Jobs = append(rel.Jobs, recov.SentJob{Team: team, ID: fmt.Sprint(i), Agents: at.agents})
		}
	}
	w.dropJobs(e, gain.Shard)
	delete(e.recoveries, gain.Shard)
	e.releases = append(slices.Clone(e.releases), rel)
}

// handOver passes each release to a reachable entry whose recovery accepts it, and drops an incomplete one that none accepts.
func (w *world) handOver(e *entry) {
	e.releases = slices.DeleteFunc(slices.Clone(e.releases), func(rel recov.Release) bool {
		for _, p := range w.entries {
			if p != e && w.running(p) && w.connected(p.node, e.node) && p.recoveries[rel.Shard] != nil && p.recoveries[rel.Shard].Release(rel) {
				return true
			}
		}
		return !rel.Complete
	})
}

// submit sends a job to an entry, which forwards it to the owner according to its map.
func (w *world) submit(i int, e *entry) {
	j := w.jobs[i]
	if j.issued.IsZero() {
		j.issued = w.now
	}
	if !w.running(e) || e.g.Map() == nil {
		return
	}
	to := e.g.Map().Owner(j.shard)
	for _, p := range w.entries {
		if p.self().Ident() == to && w.running(p) && (p == e || w.connected(p.node, e.node)) {
			w.accept(i, p)
		}
	}
}

func (w *world) accept(i int, e *entry) {
	j := w.jobs[i]
	gain, ok := e.owned[j.shard]
	r := e.recoveries[j.shard]
	if !ok || r == nil || e.assignments[i] != nil {
		return
	}
	out := r.Lookup(w.now, team, fmt.Sprint(i), j.issued)
	if w.verdicts != nil {
		w.verdicts[out.Verdict]++
	}
	switch out.Verdict {
	case recov.NeverStarted:
		if j.starts > 0 && gain.Epoch > j.epoch {
			w.fail("job %d called never started by %s after a start", i, e.self().Incarnation)
		}
		w.servedEpoch[j.shard] = max(w.servedEpoch[j.shard], gain.Epoch)
		e.assignments[i] = &assignment{epoch: gain.Epoch}
	case recov.Found:
		e.assignments[i] = &assignment{epoch: gain.Epoch, sent: true}
		for _, task := range out.Tasks {
			e.assignments[i].agents = append(e.assignments[i].agents, task.Agent)
		}
	case recov.Wait, recov.Unknown:
	}
}

// send puts the start of an accepted job in flight to an agent.
func (w *world) send(i int, e *entry, x *agent) {
	at := e.assignments[i]
	at.sent = true
	at.agents = append(slices.Clone(at.agents), x.ident())
	w.inFlight = append(slices.Clone(w.inFlight), message{
		from: e.node, to: x.node, sender: e.self().Incarnation, target: x.ident().Incarnation, job: i, epoch: at.epoch,
	})
}

// check records violations of the guarantees: a second start, or an owner whose lease holds after a later epoch has served.
func (w *world) check() {
	for i, j := range w.jobs {
		if j.starts > 1 {
			w.fail("job %d started %d times", i, j.starts)
		}
	}
	for o, inc := range w.owners {
		if o.epoch >= w.servedEpoch[o.shard] {
			continue
		}
		for _, e := range w.entries {
			if e.up && e.self().Incarnation == inc && e.owned[o.shard].Epoch == o.epoch && e.g.Holds(w.now, o.shard) {
				w.fail("%s holds shard %d after epoch %d served", inc, o.shard, w.servedEpoch[o.shard])
			}
		}
	}
}

// checkFences records agents that admit an owner after a later one has begun to serve the shard; scenarios with a release skip it.
func (w *world) checkFences() {
	for o, inc := range w.owners {
		for _, x := range w.agents {
			if o.epoch < w.servedEpoch[o.shard] && x.fence.Admit(w.now, o.shard, o.epoch, inc) == nil {
				w.fail("agent %s admits %s under epoch %d after epoch %d served", x.ident(), inc, o.epoch, w.servedEpoch[o.shard])
			}
		}
	}
}

func (w *world) clone() *world {
	c := *w
	c.log = slices.Clone(w.log)
	c.entries, c.agents, c.jobs = nil, nil, nil
	for _, e := range w.entries {
		c.entries = append(c.entries, e.clone())
	}
	for _, x := range w.agents {
		one := *x
		one.fence, one.ledger = x.fence.Clone(), x.ledger.Clone()
		c.agents = append(c.agents, &one)
	}
	for _, j := range w.jobs {
		one := *j
		c.jobs = append(c.jobs, &one)
	}
	c.cuts, c.servedEpoch, c.owners, c.taken = clone(w.cuts), clone(w.servedEpoch), clone(w.owners), clone(w.taken)
	c.inFlight = slices.Clone(w.inFlight)
	return &c
}

func (e *entry) clone() *entry {
	c := *e
	c.g = e.g.Clone()
	c.owned = clone(e.owned)
	c.assignments, c.recoveries = map[int]*assignment{}, map[int]*recov.Recovery{}
	for i, at := range e.assignments {
		one := *at
		c.assignments[i] = &one
	}
	for shard, r := range e.recoveries {
		c.recoveries[shard] = r.Clone()
	}
	return &c
}

func clone[K comparable, V any](m map[K]V) map[K]V {
	c := make(map[K]V, len(m))
	for k, v := range m {
		c[k] = v
	}
	return c
}
