package proof

import (
	"fmt"
	"math/rand/v2"
	"time"

	"persimmonstage/core/claims"
	"persimmonstage/core/evac"
	"persimmonstage/core/gossip"
	"persimmonstage/core/runs"
	"persimmonstage/core/sched"
)

// repeatLink is a connection between an agent's and an entry's process; messages of a closed one are dropped.
type repeatLink struct {
	entry         *repeatEntry
	agent         *repeatAgent
	up            bool
	owner         string // the entry's process
	answered      bool   // the agent has read the answer to its hello
	agentReceived time.Time
	entryReceived time.Time
	orders        *repeatOrders
	// Up to which cancelled jobs each side has been told.
	agentToldPos uint64
	entryToldPos uint64
	// The same of claims.
	agentClaimsPos uint64
	entryClaimsPos uint64
	// The same of evacuations.
	agentEvacuatedPos uint64
	entryEvacuatedPos uint64
}

// maintainLink connects an agent and an entry, exchanges heartbeats, and closes a link after repeatLinkTimeout without any.
func (w *repeatWorld) maintainLink(a *repeatAgent, e *repeatEntry) {
	l := a.links[e]
	passes := !w.now.Before(e.sendCutUntil[a]) && !w.now.Before(e.receiveCutUntil[a])
	switch {
	case l == nil || !l.up:
		if passes && e.alive() && !a.frozen() && a.runs.Established() {
			w.connect(a, e)
		}
	case !a.frozen() && w.now.Sub(l.agentReceived) > repeatLinkTimeout,
		!e.frozen() && w.now.Sub(l.entryReceived) > repeatLinkTimeout:
		w.drop(l)
	case !a.frozen() && l.answered:
		w.heartbeat(l)
	}
}

// connect connects an agent to an entry. Its hello and the answer are messages of their own; the connection may be lost before either.
func (w *repeatWorld) connect(a *repeatAgent, e *repeatEntry) {
	l := &repeatLink{entry: e, agent: a, up: true, owner: e.id(), agentReceived: w.now, entryReceived: w.now}
	a.links[e] = l
	var ids []string
	ids, l.entryToldPos = a.cancelled.After(w.now, 0)
	list, pos := a.claims.After(w.now, 0)
	l.entryClaimsPos = pos
	marks, pos := a.evacuations.After(0)
	l.entryEvacuatedPos = pos
	life, state, stamp := a.life, a.state(e), w.now
	a.sendOver(l, func() {
		e.links[a.name] = l
		e.withdraw(ids)
		e.receiveClaims(list)
		e.take(marks)
		open := e.sched.Join(w.now, a.name, fmt.Sprint(life), "z", state)
		marks, pos := e.evacuations.After(0)
		l.agentEvacuatedPos = pos
		e.sendOver(l, func() {
			l.answered = true
			a.take(marks)
			a.runs.RecordEcho(l.owner, stamp)
			a.runs.Reconnected(w.now, l.owner, open)
			a.Changed()
		})
	})
}

// heartbeat exchanges an agent's heartbeat and its answer; both tell of cancelled jobs.
func (w *repeatWorld) heartbeat(l *repeatLink) {
	a, stamp := l.agent, w.now
	var ids []string
	ids, l.entryToldPos = a.cancelled.After(w.now, l.entryToldPos)
	list, pos := a.claims.After(w.now, l.entryClaimsPos)
	l.entryClaimsPos = pos
	marks, pos := a.evacuations.After(l.entryEvacuatedPos)
	l.entryEvacuatedPos = pos
	a.sendOver(l, func() {
		e := l.entry
		e.take(marks)
		e.withdraw(ids)
		e.receiveClaims(list)
		var answer []string
		answer, l.agentToldPos = e.cancelled.After(w.now, l.agentToldPos)
		claimed, told := e.claims.After(w.now, l.agentClaimsPos)
		l.agentClaimsPos = told
		for _, c := range claimed {
			if c.Holder == e.holder() {
				e.sched.ClaimSent(c.Job)
			}
		}
		marks, pos := e.evacuations.After(l.agentEvacuatedPos)
		l.agentEvacuatedPos = pos
		e.sendOver(l, func() {
			a.take(marks)
			a.runs.RecordEcho(l.owner, stamp)
			for _, id := range answer {
				a.cancelled.Add(w.now, id)
			}
			for _, c := range claimed {
				a.claims.Receive(w.now, c)
			}
		})
	})
}

func (w *repeatWorld) drop(l *repeatLink) {
	l.up = false
	l.entry.whenRunning(l, func() {
		if l.entry.links[l.agent.name] == l { // else the agent has connected again
			l.entry.sched.Disconnect(l.agent.name, w.now.Add(runs.Expiry))
		}
	})
}

// resetLinks resets some of the connections between agents and entries at once: both sides see it, and what was under way is lost.
func (w *repeatWorld) resetLinks() {
	for _, a := range w.agents {
		for _, e := range w.entries {
			l := a.links[e]
			if l == nil || !l.up || w.rng.IntN(3) == 0 {
				continue
			}
			w.drop(l)
			w.after(time.Duration(w.rng.Int64N(int64(maxRedialDelay))), func() { w.maintainLink(a, e) })
		}
	}
}

// maxRedialDelay bounds the time after which an agent connects again to an entry that reset its connection.
const maxRedialDelay = 60 * time.Millisecond

func (w *repeatWorld) bootAgent(a *repeatAgent) {
	a.life++
	a.thaw()
	a.runs, a.fences, a.cancelled, a.claims = runs.New(a), 0, gossip.Gossip[string]{}, claims.Claims{}
	a.evacuations = evac.Table{}
	a.runs.SetEvacuations(&a.evacuations, a.target.self.DataCentre)
	if a.kept != nil {
		recalled := *a.kept
		a.runs.Announced(w.now, &recalled)
	}
	for _, e := range w.entries {
		if l := a.links[e]; l != nil && l.up {
			w.drop(l)
		}
	}
	a.links = map[*repeatEntry]*repeatLink{}
}

func (w *repeatWorld) bootEntry(e *repeatEntry) {
	e.life++
	e.thaw()
	e.sched = sched.New(e, rand.New(rand.NewPCG(w.seed, uint64(e.life))))
	e.sched.Tick(w.now)
	e.evacuations = evac.Table{}
	e.sched.SetEvacuations(&e.evacuations)
	e.take(w.operators.log) // with the configuration, before which it takes no jobs
	e.cancelled, e.claims = gossip.Gossip[string]{}, claims.Claims{}
	for _, a := range w.agents {
		if l := a.links[e]; l != nil {
			l.up = false
		}
	}
	e.links = map[string]*repeatLink{}
	e.steps, e.dirty = nil, nil
	for _, b := range e.onDeath {
		w.after(repeatLatency, b)
	}
	e.onDeath = nil
}
