package proof

import (
	"fmt"
	"math/rand/v2"
	"time"

	"persimmonstage/core/gossip"
	"persimmonstage/core/runs"
	"persimmonstage/core/sched"
)

// repeatLink is a connection between an agent and an entry's process; messages of a closed one are dropped.
type repeatLink struct {
	entry         *repeatEntry
	agent         *repeatAgent
	up            bool
	agentReceived time.Time
	entryReceived time.Time
	orders        *repeatOrders
	// Up to which cancelled jobs each side has been told.
	agentToldPos uint64
	entryToldPos uint64
}

// maintainLink connects an agent and an entry, exchanges heartbeats, and closes a link after repeatLinkTimeout without any.
func (w *repeatWorld) maintainLink(a *repeatAgent, e *repeatEntry) {
	l := e.links[a.name]
	passes := !w.now.Before(e.sendCutUntil[a]) && !w.now.Before(e.receiveCutUntil[a])
	switch {
	case l == nil || !l.up:
		if !passes || !e.alive() || a.frozen() || !a.runs.Established() {
			return
		}
		if e.frozen() { // the connection and the hello wait in the entry's queue of connections
			if !e.queued[a] {
				e.queued[a] = true
				w.after(e.frozenUntil.Sub(w.now)+time.Duration(w.rng.IntN(3000))*time.Microsecond, func() {
					e.queued[a] = false
					if !e.frozen() {
						w.maintainLink(a, e)
					}
				})
			}
			return
		}
		l = &repeatLink{entry: e, agent: a, up: true, agentReceived: w.now, entryReceived: w.now}
		e.links[a.name] = l
		var ids []string
		ids, l.entryToldPos = a.cancelled.After(w.now, 0)
		e.withdraw(ids)
		open := e.sched.Join(w.now, a.name, fmt.Sprint(a.life), "z", a.state(e))
		a.runs.RecordEcho(e.id(), w.now)
		a.runs.Reconnected(w.now, e.id(), open)
	case !a.frozen() && w.now.Sub(l.agentReceived) > repeatLinkTimeout,
		!e.frozen() && w.now.Sub(l.entryReceived) > repeatLinkTimeout:
		w.drop(l)
	case !a.frozen():
		w.heartbeat(l)
	}
}

// heartbeat exchanges an agent's heartbeat and its answer; both tell of cancelled jobs.
func (w *repeatWorld) heartbeat(l *repeatLink) {
	a, stamp, owner := l.agent, w.now, l.entry.id()
	var ids []string
	ids, l.entryToldPos = a.cancelled.After(w.now, l.entryToldPos)
	a.report(owner, func(e *repeatEntry) {
		e.withdraw(ids)
		var answer []string
		answer, l.agentToldPos = e.cancelled.After(w.now, l.agentToldPos)
		e.send(a, func() {
			a.runs.RecordEcho(owner, stamp)
			for _, id := range answer {
				a.cancelled.Add(w.now, id)
			}
		})
	})
}

func (w *repeatWorld) drop(l *repeatLink) {
	l.up = false
	l.entry.whenRunning(func() {
		if l.entry.links[l.agent.name] == l { // else the agent has connected again
			l.entry.sched.Disconnect(l.agent.name, w.now.Add(runs.Expiry))
		}
	})
}

func (w *repeatWorld) bootAgent(a *repeatAgent) {
	a.life++
	a.thaw()
	a.runs, a.fences, a.cancelled = runs.New(a), 0, gossip.Gossip{}
	if a.kept != nil {
		recalled := *a.kept
		a.runs.Announced(w.now, &recalled)
	}
	for _, e := range w.entries {
		if l := e.links[a.name]; l != nil && l.up {
			w.drop(l)
		}
	}
}

func (w *repeatWorld) bootEntry(e *repeatEntry) {
	e.life++
	e.thaw()
	e.sched = sched.New(e, rand.New(rand.NewPCG(w.seed, uint64(e.life))))
	e.sched.Tick(w.now)
	e.cancelled = gossip.Gossip{}
	for _, l := range e.links {
		l.up = false
	}
	e.links = map[string]*repeatLink{}
	e.steps, e.dirty = nil, nil
	for _, b := range e.onDeath {
		w.after(repeatLatency, b)
	}
	e.onDeath = nil
}
