package proof

import (
	"fmt"
	"slices"

	"persimmonstage/core/group"
	"persimmonstage/core/recov"
)

// recover does what an owner's glue does after each step of its group.
func (w *world) recover(e *entry) {
	if w.flaw == noSeal && e.g.Map() != nil {
		for _, one := range e.g.Map().Members() {
			e.g.HandleHeartbeat(w.now, group.Heartbeat{From: one, Version: forever})
		}
		for _, o := range e.g.Map().Unsealed() {
			for _, one := range o.Members {
				e.g.HandleHeartbeat(w.now, group.Heartbeat{From: one, Version: forever})
			}
		}
	}
	gains := map[int]group.Gain{}
	for _, gain := range e.g.Gains() {
		gains[gain.Shard] = gain
		if e.owned[gain.Shard] != gain {
			w.begin(e, gain)
		}
		w.ask(e, gain)
	}
	for shard, gain := range e.owned {
		if _, ok := gains[shard]; !ok {
			w.release(e, gain)
		}
	}
	e.owned = gains
	w.handOver(e)
}

func (w *world) begin(e *entry, gain group.Gain) {
	e.recovs[gain.Shard] = recov.New(recov.Config{
		Shard: gain.Shard, Epoch: gain.Epoch, Version: gain.Version, First: gain.First, AnswerTimeout: unit,
	})
	w.owners[owner{gain.Shard, gain.Epoch}] = e.self().Incarnation
	w.drop(e, gain.Shard)
}

// drop forgets what was decided under an earlier epoch.
func (w *world) drop(e *entry, shard int) {
	for i := range e.table {
		if w.jobs[i].shard == shard {
			delete(e.table, i)
		}
	}
}

func (w *world) ask(e *entry, gain group.Gain) {
	r := e.recovs[gain.Shard]
	if at, ok := e.g.Fenced(w.now, gain.Version); ok {
		r.SetFenced(at)
	} else if w.flaw == noFence {
		r.SetFenced(w.now)
	}
	agents, complete := e.g.Agents(gain.Version)
	switch w.flaw {
	case noAsking:
		agents, complete = nil, true
	case noRoster:
		complete = true
	}
	r.AddAgents(agents, complete)
	for _, who := range r.Unanswered() {
		for _, x := range w.agents {
			if x.ident() != who || !w.joined(x.node, e.node) {
				continue
			}
			x.fence.Adopt(e.g.Map())
			r.AddAnswer(who, x.fence.Version(), x.ledger.Shard(gain.Shard))
		}
	}
}

// release hands a lost shard over to its new owner, if that is within reach.
func (w *world) release(e *entry, gain group.Gain) {
	r := e.recovs[gain.Shard]
	rel := recov.Release{Shard: gain.Shard, Epoch: gain.Epoch, Complete: r.Served(), Jobs: r.SentJobs()}
	for i, at := range e.table {
		if w.jobs[i].shard == gain.Shard && len(at.tried) > 0 {
			rel.Jobs = append(rel.Jobs, recov.SentJob{Team: team, ID: fmt.Sprint(i), Agents: at.tried})
		}
	}
	w.drop(e, gain.Shard)
	delete(e.recovs, gain.Shard)
	e.releases = append(slices.Clone(e.releases), rel)
}

// handOver offers the releases to whoever has a recovery that takes them.
func (w *world) handOver(e *entry) {
	e.releases = slices.DeleteFunc(slices.Clone(e.releases), func(rel recov.Release) bool {
		for _, p := range w.entries {
			if p != e && w.runs(p) && w.joined(p.node, e.node) && p.recovs[rel.Shard] != nil && p.recovs[rel.Shard].Release(rel) {
				return true
			}
		}
		return !rel.Complete
	})
}

// submit brings a job to an entry, which forwards it to the owner by its own map.
func (w *world) submit(i int, e *entry) {
	j := w.jobs[i]
	if j.issued.IsZero() {
		j.issued = w.now
	}
	if !w.runs(e) || e.g.Map() == nil {
		return
	}
	to := e.g.Map().Owner(j.shard)
	for _, p := range w.entries {
		if p.self().Ident() == to && w.runs(p) && (p == e || w.joined(p.node, e.node)) {
			w.accept(i, p)
		}
	}
}

func (w *world) accept(i int, e *entry) {
	j := w.jobs[i]
	gain, ok := e.owned[j.shard]
	r := e.recovs[j.shard]
	if !ok || r == nil || e.table[i] != nil {
		return
	}
	out := r.Lookup(w.now, team, fmt.Sprint(i), j.issued)
	if w.verdicts != nil {
		w.verdicts[out.Verdict]++
	}
	switch out.Verdict {
	case recov.NeverStarted:
		if j.starts > 0 && gain.Epoch > j.epoch {
			w.fail("job %d called fresh by %s after a start", i, e.self().Incarnation)
		}
		w.served[j.shard] = max(w.served[j.shard], gain.Epoch)
		e.table[i] = &work{epoch: gain.Epoch}
	case recov.Found:
		e.table[i] = &work{epoch: gain.Epoch, sent: true}
		for _, task := range out.Tasks {
			e.table[i].tried = append(e.table[i].tried, task.Agent)
		}
	case recov.Wait, recov.Unknown:
	}
}

// send puts the start of an accepted job on its way to an agent.
func (w *world) send(i int, e *entry, x *agent) {
	at := e.table[i]
	at.sent = true
	at.tried = append(slices.Clone(at.tried), x.ident())
	w.held = append(slices.Clone(w.held), message{
		from: e.node, to: x.node, sender: e.self().Incarnation, target: x.ident().Incarnation, job: i, epoch: at.epoch,
	})
}

// check looks for violations of the promises.
func (w *world) check() {
	for i, j := range w.jobs {
		if j.starts > 1 {
			w.fail("job %d started %d times", i, j.starts)
		}
	}
	for o, inc := range w.owners {
		if o.epoch >= w.served[o.shard] {
			continue
		}
		for _, e := range w.entries {
			if e.up && e.self().Incarnation == inc && e.owned[o.shard].Epoch == o.epoch && e.g.Holds(w.now, o.shard) {
				w.fail("%s holds shard %d after epoch %d served", inc, o.shard, w.served[o.shard])
			}
		}
	}
}

// obeyed looks for an agent that obeys an owner after a later one has begun to serve the shard; a release makes an exception.
func (w *world) obeyed() {
	for o, inc := range w.owners {
		for _, x := range w.agents {
			if o.epoch < w.served[o.shard] && x.fence.Admit(w.now, o.shard, o.epoch, inc) == nil {
				w.fail("agent %s obeys %s under epoch %d after epoch %d served", x.ident(), inc, o.epoch, w.served[o.shard])
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
	c.cuts, c.served, c.owners, c.used = clone(w.cuts), clone(w.served), clone(w.owners), clone(w.used)
	c.held = slices.Clone(w.held)
	return &c
}

func (e *entry) clone() *entry {
	c := *e
	c.g = e.g.Clone()
	c.owned = clone(e.owned)
	c.table, c.recovs = map[int]*work{}, map[int]*recov.Recovery{}
	for i, at := range e.table {
		one := *at
		c.table[i] = &one
	}
	for shard, r := range e.recovs {
		c.recovs[shard] = r.Clone()
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
