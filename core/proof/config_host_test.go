package proof

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"persimmonstage/core/fetch"
	"persimmonstage/core/flight"
	"persimmonstage/core/follow"
	"persimmonstage/core/newest"
	"persimmonstage/core/relay"
	"persimmonstage/core/times"
)

const (
	configLatency     = time.Millisecond
	configLinkTimeout = 450 * time.Millisecond
	configHeartbeat   = 200 * time.Millisecond
	// configCatchUpCalls is the number of calls by which an agent may catch up.
	configCatchUpCalls = 4
)

// configHost is a process: it may be replaced, frozen, or turned away by the store.
type configHost struct {
	w               *configWorld
	name            string
	incarnation     int
	connections     int // raised when all connections to the store go silent
	frozenUntil     time.Time
	refusedUntil    time.Time
	refusedSilently bool
	doc             *newest.Newest
	// calmFrom is when the process was last disturbed, servedFrom when its path to the store was.
	calmFrom, servedFrom time.Time
}

func (h *configHost) calm() bool { return h.w.calmSince(h.calmFrom) }

// post runs a step of the process, after its freeze, unless it has been replaced by then.
func (h *configHost) post(step func()) {
	inc := h.incarnation
	if h.w.now.Before(h.frozenUntil) {
		h.w.after(h.frozenUntil.Sub(h.w.now), func() {
			if inc == h.incarnation {
				h.post(step)
			}
		})
		return
	}
	step()
}

// regularly runs a step every period while the process isn't replaced.
func (h *configHost) regularly(period time.Duration, step func()) {
	inc := h.incarnation
	var next func()
	next = func() {
		if inc == h.incarnation {
			if !h.w.now.Before(h.frozenUntil) {
				step()
			}
			h.w.after(period, next)
		}
	}
	h.w.after(period, next)
}

func (h *configHost) freeze(until time.Time) {
	h.frozenUntil, h.calmFrom = until, until
}

func (h *configHost) replace() {
	h.incarnation++
	h.calmFrom, h.frozenUntil = h.w.now, time.Time{}
	h.doc = &newest.Newest{}
}

func (h *configHost) turnAway(until time.Time, silent bool) {
	h.w.note("%s turned away for %s, silently: %t", h.name, until.Sub(h.w.now), silent)
	h.refusedUntil, h.refusedSilently, h.servedFrom = until, silent, until
}

// silence makes the open connections to the store silent; later ones work.
func (h *configHost) silence() {
	h.connections++
	h.servedFrom = h.w.now
	if h.w.now.Before(h.refusedUntil) {
		h.servedFrom = h.refusedUntil
	}
}

// configEntry follows the store and has agents read it.
type configEntry struct {
	configHost
	follower   *follow.Follower
	relay      *relay.Relay
	heard      map[*configAgent]time.Time
	cutUntil   map[*configAgent]time.Time
	linkedFrom map[*configAgent]time.Time
}

func newConfigEntry(w *configWorld, name string) *configEntry {
	return &configEntry{
		configHost: configHost{w: w, name: name}, cutUntil: map[*configAgent]time.Time{}, linkedFrom: map[*configAgent]time.Time{},
	}
}

func (e *configEntry) boot() {
	e.replace()
	e.follower, e.relay = &follow.Follower{}, relay.New(rand.New(rand.NewPCG(e.w.rng.Uint64(), 1)))
	e.heard = map[*configAgent]time.Time{}
	e.step()
	e.regularly(10*time.Millisecond, e.askAgents)
}

func (e *configEntry) cutLink(a *configAgent, until time.Time) {
	e.cutUntil[a], e.linkedFrom[a] = until, until
}

// step makes the next call to the store.
func (e *configEntry) step() {
	from, list := e.follower.Next()
	sent := e.w.now
	e.w.store.call(&e.configHost, from, list, configReadWait, func(a configAnswer, err error) {
		if err != nil {
			e.w.note("%s: call failed: %s", e.name, err)
			e.follower.Failed()
		} else {
			e.apply(a, list, from, sent)
		}
		inc := e.incarnation
		e.w.after(e.follower.Pause(), func() {
			if inc == e.incarnation {
				e.post(e.step)
			}
		})
	})
}

// apply takes an answer of the store.
func (e *configEntry) apply(a configAnswer, list bool, from int64, sent time.Time) {
	all := e.w.follow(e.follower, a, list, from)
	if !list && a.records == 0 {
		sent = times.Earlier(e.w.now, sent.Add(configReadWait))
	}
	if e.doc.Update(a.version, nil, "store") || !all {
		e.w.note("%s: list %t, all %t: %+v", e.name, list, all, a)
	}
	if all {
		e.doc.Confirm(sent, e.w.now, e.follower.End())
	}
}

func (e *configEntry) askAgents() {
	if e.w.guard == withoutRelay {
		return
	}
	connected := func() []string {
		var names []string
		for _, a := range e.w.agents {
			if at, ok := e.heard[a]; ok && e.w.now.Sub(at) < configLinkTimeout {
				names = append(names, a.name)
			}
		}
		return names
	}
	for _, name := range e.relay.Ask(e.w.now, e.doc.Received(), connected) {
		a := e.w.agentNamed(name)
		e.w.note("%s asks %s", e.name, name)
		want := &configWant{entry: e, stamp: e.w.now, position: e.doc.Position()}
		e.w.send(e, a, &a.configHost, func() { a.wanted(want) })
	}
}

// answered takes a version that an agent has sent, and its time of request if the agent has read it on request.
func (e *configEntry) answered(version int64, stamp time.Time, position int64) {
	if e.doc.Update(version, nil, "agent") || !stamp.IsZero() {
		e.w.note("%s: version %d from an agent, requested at %s", e.name, version, stamp.Format("05.000"))
	}
	if !stamp.IsZero() {
		e.doc.Confirm(stamp, e.w.now, position)
	}
}

// configWant is an entry's request to read the store.
type configWant struct {
	entry    *configEntry
	stamp    time.Time
	position int64
}

// configAgent passes versions on between entries, and reads the store for them.
type configAgent struct {
	configHost
	spread *fetch.Spread
	flight *flight.Flight[*configWant]
	// follower decides on the calls of a read.
	follower *follow.Follower
	// joined holds the requests that a read under way answers as well, without the guard against it.
	joined  []*configWant
	reading bool
	heard   map[*configEntry]time.Time
	sent    map[*configEntry]int64
}

func newConfigAgent(w *configWorld, name string) *configAgent {
	return &configAgent{configHost: configHost{w: w, name: name}}
}

func (w *configWorld) agentNamed(name string) *configAgent {
	for _, a := range w.agents {
		if a.name == name {
			return a
		}
	}
	return nil
}

// send delivers a message between an entry and an agent, unless their link is cut.
func (w *configWorld) send(e *configEntry, a *configAgent, to *configHost, do func()) {
	if w.now.Before(e.cutUntil[a]) {
		return
	}
	inc := to.incarnation
	w.after(configLatency, func() {
		if inc == to.incarnation && !w.now.Before(e.cutUntil[a]) {
			to.post(do)
		}
	})
}

func (a *configAgent) boot() {
	a.replace()
	a.spread, a.flight = fetch.New(rand.New(rand.NewPCG(a.w.rng.Uint64(), 2))), &flight.Flight[*configWant]{}
	a.follower, a.joined, a.reading = &follow.Follower{}, nil, false
	a.heard, a.sent = map[*configEntry]time.Time{}, map[*configEntry]int64{}
	a.regularly(20*time.Millisecond, a.tick)
	for _, e := range a.w.entries {
		a.regularly(configHeartbeat, func() { a.heartbeat(e) })
	}
}

func (a *configAgent) tick() {
	a.fetch()
	a.read()
	for _, e := range a.w.entries {
		if at, ok := a.heard[e]; ok && a.w.now.Sub(at) > configLinkTimeout {
			delete(a.heard, e)
			delete(a.sent, e)
			a.spread.Remove(e.name)
		}
	}
}

// heartbeat exchanges versions with an entry and gives it a newer one.
func (a *configAgent) heartbeat(e *configEntry) {
	a.w.send(e, a, &e.configHost, func() {
		e.heard[a] = a.w.now
		version := e.doc.Version()
		a.w.send(e, a, &a.configHost, func() { a.heartbeatAnswered(e, version) })
	})
}

func (a *configAgent) heartbeatAnswered(e *configEntry, version int64) {
	a.heard[e] = a.w.now
	own := a.doc.Version()
	a.spread.SetVersion(a.w.now, e.name, version, own)
	if version < own && a.sent[e] < own {
		a.sent[e] = own
		a.w.send(e, a, &e.configHost, func() { e.answered(own, time.Time{}, 0) })
	}
}

// fetch requests a newer version from an entry.
func (a *configAgent) fetch() {
	name := a.spread.Next(a.w.now, a.doc.Version())
	for _, e := range a.w.entries {
		if e.name == name && a.w.guard != withoutSpread {
			a.w.send(e, a, &e.configHost, func() {
				version := e.doc.Version()
				a.w.send(e, a, &a.configHost, func() { a.doc.Update(version, nil, e.name) })
			})
		}
	}
}

func (a *configAgent) wanted(r *configWant) {
	if a.reading && a.w.guard == withoutNewerReads {
		a.joined = append(a.joined, r)
		return
	}
	a.flight.Add(r)
	a.read()
}

// read catches up with the store for the entries that have requested it.
func (a *configAgent) read() {
	if list := a.flight.Start(a.w.now); len(list) > 0 {
		a.reading = true
		a.catchUp(list, configCatchUpCalls)
	}
}

// catchUp makes the next of a few calls, and answers the requests once all records have been read that there were at the beginning.
func (a *configAgent) catchUp(list []*configWant, calls int) {
	from, isList := a.follower.Next()
	a.w.store.call(&a.configHost, from, isList, 0, func(answer configAnswer, err error) {
		if err != nil {
			a.follower.Failed()
		}
		switch {
		case err == nil && a.apply(answer, isList, from):
			a.done(append(list, a.joined...))
		case calls == 1 || err != nil && !errors.Is(err, errConfigGone):
			a.w.note("%s: read failed: %v", a.name, err)
			a.done(nil)
		default:
			a.catchUp(list, calls-1)
		}
	})
}

// apply takes an answer of the store and reports whether all records have been read.
func (a *configAgent) apply(answer configAnswer, list bool, from int64) bool {
	a.doc.Update(answer.version, nil, "store")
	return a.w.follow(a.follower, answer, list, from)
}

// done ends the read and answers the requests for it.
func (a *configAgent) done(list []*configWant) {
	a.flight.Done(a.w.now)
	a.joined, a.reading = nil, false
	position := a.follower.End()
	for _, r := range list {
		version, stamp := a.doc.Version(), time.Time{}
		if position >= r.position {
			stamp = r.stamp
		}
		a.w.send(r.entry, a, &r.entry.configHost, func() { r.entry.answered(version, stamp, position) })
	}
}
