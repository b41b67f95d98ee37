package admit

// Sent records that one task of an admitted job was sent to an agent.
func (g *Gate) Sent(r Request) {
	k := g.find(&r)
	if k == nil {
		return
	}
	k.unsent = max(k.unsent-r.workPerTask(), 0)
	k.sent += r.workPerTask()
	k.team.running++
}

// Requeued records that a sent task was refused before its start and will be sent again.
func (g *Gate) Requeued(r Request) {
	k := g.find(&r)
	if k == nil {
		return
	}
	k.sent = max(k.sent-r.workPerTask(), 0)
	k.unsent += r.workPerTask()
	k.team.running = max(k.team.running-1, 0)
}

// Done records that one sent task has ended with any outcome.
func (g *Gate) Done(r Request) {
	k := g.find(&r)
	if k == nil {
		return
	}
	k.team.running = max(k.team.running-1, 0)
	k.finishWork(r.workPerTask())
}

// finishWork removes work from the backlog, first from the part that agents reported, because that was sent earlier.
func (k *kind) finishWork(work float64) {
	reported := min(work, k.waiting)
	k.waiting -= reported
	k.sent = max(k.sent-(work-reported), 0)
}

// Drop records that n tasks of an admitted job will never be sent.
func (g *Gate) Drop(r Request, n int64) {
	if k := g.find(&r); k != nil {
		k.unsent = max(k.unsent-r.workPerTask()*float64(n), 0)
	}
}

// End returns the capacity of an admitted job.
func (g *Gate) End(r Request) {
	k := g.find(&r)
	if k == nil {
		return
	}
	g.addHeld(k, -r.Tasks, -r.Bytes)
	k.admitted.add(&r, -1)
	if k.tasks == 0 {
		k.unsent = 0
		k.admitted = workByPatience{}
	}
}

// Leave returns the capacity of a caller that joined.
func (g *Gate) Leave(r Request) {
	if k := g.find(&r); k != nil {
		g.addHeld(k, -1, -r.Bytes)
	}
}

func (g *Gate) find(r *Request) *kind {
	t, ok := g.teams[r.Team]
	if !ok {
		return nil
	}
	return t.kinds[r.Kind]
}
