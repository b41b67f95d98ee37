package admit

// Sent says that one task of an admitted job went to an agent.
func (g *Gate) Sent(r Request) {
	k := g.find(&r)
	if k == nil {
		return
	}
	k.unsent = max(k.unsent-r.each(), 0)
	k.sent += r.each()
	k.team.running++
}

// Requeued says that a sent task was refused before its start and will be sent again.
func (g *Gate) Requeued(r Request) {
	k := g.find(&r)
	if k == nil {
		return
	}
	k.sent = max(k.sent-r.each(), 0)
	k.unsent += r.each()
	k.team.running = max(k.team.running-1, 0)
}

// Done says that one sent task has ended, however it ended.
func (g *Gate) Done(r Request) {
	k := g.find(&r)
	if k == nil {
		return
	}
	k.team.running = max(k.team.running-1, 0)
	k.finish(r.each())
}

// finish takes work out of the backlog, what agents reported first, since it was sent first.
func (k *kind) finish(work float64) {
	reported := min(work, k.waiting)
	k.waiting -= reported
	k.sent = max(k.sent-(work-reported), 0)
}

// Drop says that n tasks of an admitted job will never be sent.
func (g *Gate) Drop(r Request, n int64) {
	if k := g.find(&r); k != nil {
		k.unsent = max(k.unsent-r.each()*float64(n), 0)
	}
}

// End gives back the room of an admitted job.
func (g *Gate) End(r Request) {
	k := g.find(&r)
	if k == nil {
		return
	}
	g.hold(k, -r.Tasks, -r.Bytes)
	k.held.add(&r, -1)
	if k.tasks == 0 {
		k.unsent = 0
		k.held = classed{}
	}
}

// Leave gives back the room of a caller that joined.
func (g *Gate) Leave(r Request) {
	if k := g.find(&r); k != nil {
		g.hold(k, -1, -r.Bytes)
	}
}

func (g *Gate) find(r *Request) *kind {
	t, ok := g.teams[r.Team]
	if !ok {
		return nil
	}
	return t.kinds[r.Kind]
}
