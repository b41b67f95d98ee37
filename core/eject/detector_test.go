package eject_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/cause"
	"persimmonstage/core/eject"
	"persimmonstage/core/needs"
	"persimmonstage/core/place"
	"persimmonstage/core/roster"
	"persimmonstage/core/speed"
	"persimmonstage/core/target"
)

const (
	targets   = 10
	slotsEach = 8
	runTime   = 200 * time.Millisecond
	step      = time.Millisecond
	tick      = 50 * time.Millisecond
	hangTime  = time.Hour
)

var (
	start = time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC)
	slot  = needs.Vector{Slots: 1}
)

// behaviour returns the outcome and the run time of a task of a kind at a target.
type behaviour func(now time.Duration, target, kind int) (eject.Outcome, time.Duration)

// eventLog records the calls to the watcher.
type eventLog []string

func (l *eventLog) Ejected(_ time.Time, _ target.ID, c cause.Cause) { *l = append(*l, string(c)) }

func (l *eventLog) Returned(time.Time, target.ID) { *l = append(*l, "returned") }

type task struct {
	id      target.ID
	kind    string
	work    time.Duration
	outcome eject.Outcome
	ran     time.Duration
	due     time.Duration
}

// fleet simulates ten targets of eight slots under a load of 80%, in steps of a millisecond.
type fleet struct {
	behave   behaviour
	probe    func(now time.Duration, target int) bool
	rng      *rand.Rand
	now      time.Duration
	roster   roster.Roster
	table    speed.Table
	detector *eject.Detector
	placer   *place.Placer
	running  []task
	started  [targets]int
	mostOut  int
	events   eventLog
}

func newFleet(f behaviour) *fleet {
	fl := &fleet{behave: f, rng: rand.New(rand.NewPCG(1, 2))}
	fl.roster.SetHeartbeatTimeout(time.Hour)
	fl.detector = eject.New(&fl.roster, &fl.events)
	fl.placer = place.New(place.Bounded, &fl.roster, &fl.table, 0)
	for i := range targets {
		id, _ := fl.roster.Announce(fmt.Sprint(i), "a", "kl-1", "r1", needs.Vector{Slots: slotsEach}, start)
		fl.detector.Announced(id, fmt.Sprint(i), start)
	}
	return fl
}

func (f *fleet) run(until time.Duration) {
	const perStep = 0.8 * targets * slotsEach * float64(step) / float64(runTime)
	for ; f.now < until; f.now += step {
		f.endDue()
		if f.rng.Float64() < perStep {
			f.place(f.rng.IntN(4))
		}
		if f.now%tick > 0 {
			continue
		}
		f.detector.Tick(start.Add(f.now), func(id target.ID) {
			f.detector.Probed(id, f.probe == nil || f.probe(f.now, id.Index()), start.Add(f.now))
		})
		f.mostOut = max(f.mostOut, f.out())
	}
}

func (f *fleet) out() int {
	n := 0
	for i := range targets {
		if _, out := f.detector.Out(target.New(uint32(i), 1)); out {
			n++
		}
	}
	return n
}

func (f *fleet) place(kind int) {
	ask := &place.Request{Kind: fmt.Sprint(kind), DataCentre: "kl-1", Tasks: []place.Task{{Needs: slot, Declared: runTime}}}
	c := f.placer.Place(start.Add(f.now), f.rng, ask, nil)[0]
	id := c.Target()
	f.started[id.Index()]++
	f.detector.Sent(id, c.Wait()+c.Work(), start.Add(f.now))
	o, ran := f.behave(f.now, id.Index(), kind)
	f.running = append(f.running, task{id: id, kind: ask.Kind, work: c.Work(), outcome: o, ran: ran, due: f.now + c.Wait() + ran})
}

func (f *fleet) endDue() {
	kept := f.running[:0]
	for _, t := range f.running {
		if t.due > f.now {
			kept = append(kept, t)
			continue
		}
		f.roster.Ended(t.id, slot, t.work)
		f.detector.Ended(t.id, t.kind, t.outcome, start.Add(f.now))
		if t.outcome == eject.Succeeded {
			f.table.Learn(t.id, t.kind, runTime, t.ran)
			f.roster.SetSpeedFactor(t.id, f.table.Factor(t.id))
		}
	}
	f.running = kept
}

func healthy(time.Duration, int, int) (eject.Outcome, time.Duration) { return eject.Succeeded, runTime }

// target3 lets target 3 behave as given from the tenth second on.
func target3(behave behaviour) behaviour {
	return func(now time.Duration, i, kind int) (eject.Outcome, time.Duration) {
		if i == 3 && now >= 10*time.Second {
			return behave(now, i, kind)
		}
		return healthy(now, i, kind)
	}
}

func failFast(time.Duration, int, int) (eject.Outcome, time.Duration) {
	return eject.Failed, time.Millisecond
}

func hang(time.Duration, int, int) (eject.Outcome, time.Duration) { return eject.Succeeded, hangTime }

func TestTargetThatFailsEverythingIsEjectedAfterAFewTasks(t *testing.T) {
	f := newFleet(target3(failFast))
	f.run(10 * time.Second)
	before := f.started[3]
	f.probe = func(time.Duration, int) bool { return false }
	f.run(time.Minute)
	t.Logf("tasks started at the target that fails everything: %d", f.started[3]-before)
	require.LessOrEqual(t, f.started[3]-before, slotsEach)
	require.Equal(t, 1, f.out())
}

func TestProbeThatMissesTheFaultCostsFewTasks(t *testing.T) {
	f := newFleet(target3(failFast))
	f.run(10 * time.Second)
	before := f.started[3]
	f.run(10*time.Second + 2*time.Minute)
	t.Logf("tasks started in two minutes though every probe succeeds: %d", f.started[3]-before)
	require.LessOrEqual(t, f.started[3]-before, 3*slotsEach)
}

func TestRecoveredTargetReturns(t *testing.T) {
	f := newFleet(func(now time.Duration, i, kind int) (eject.Outcome, time.Duration) {
		if i == 3 && now < 20*time.Second {
			return failFast(now, i, kind)
		}
		return healthy(now, i, kind)
	})
	f.probe = func(now time.Duration, _ int) bool { return now >= 20*time.Second }
	f.run(20 * time.Second)
	require.Equal(t, 1, f.out())
	lost := f.started[3]
	f.run(2 * time.Minute)
	require.Zero(t, f.out())
	require.Greater(t, f.started[3]-lost, 1000)
	require.Equal(t, eventLog{"target-fails", "returned"}, f.events)
}

func TestHangingTargetIsEjected(t *testing.T) {
	f := newFleet(target3(hang))
	f.probe = func(time.Duration, int) bool { return false }
	f.run(10 * time.Second)
	before := f.started[3]
	f.run(time.Minute)
	reason, out := f.detector.Out(target.New(3, 1))
	t.Logf("tasks started at the target that hangs: %d", f.started[3]-before)
	require.True(t, out)
	require.Equal(t, "starts tasks and ends none", reason)
	require.Equal(t, eventLog{"target-slow"}, f.events)
	require.LessOrEqual(t, f.started[3]-before, 3*slotsEach)
}

// TestTenTimesSlowerGetsLessButStays checks that a slow target isn't ejected: placement sends it as much as it can do.
func TestTenTimesSlowerGetsLessButStays(t *testing.T) {
	f := newFleet(target3(func(time.Duration, int, int) (eject.Outcome, time.Duration) { return eject.Succeeded, 10 * runTime }))
	f.run(10 * time.Second)
	before := f.started[3]
	f.run(20 * time.Second)
	t.Logf("tasks started in ten seconds at the target that turned ten times slower: %d of %d it could do", f.started[3]-before, 10*slotsEach/2)
	require.LessOrEqual(t, f.started[3]-before, 10*slotsEach/2)
	require.Zero(t, f.out())
}

func TestKindThatFailsEverywhereEjectsNoTarget(t *testing.T) {
	f := newFleet(func(now time.Duration, i, kind int) (eject.Outcome, time.Duration) {
		if kind == 1 && now >= 10*time.Second {
			return failFast(now, i, kind)
		}
		return healthy(now, i, kind)
	})
	f.probe = func(time.Duration, int) bool {
		require.Fail(t, "a target was ejected", "%v", f.reasons())
		return false
	}
	f.run(time.Minute)
	require.Zero(t, f.out())
}

func TestEveryKindFailingLeavesMostTargets(t *testing.T) {
	f := newFleet(failFast)
	f.run(30 * time.Second)
	require.LessOrEqual(t, f.mostOut, 4)
}

func TestUnhealthyMajorityStaysWithinTheLimit(t *testing.T) {
	f := newFleet(func(now time.Duration, i, kind int) (eject.Outcome, time.Duration) {
		if i < 6 && now >= 10*time.Second {
			return failFast(now, i, kind)
		}
		return healthy(now, i, kind)
	})
	f.probe = func(time.Duration, int) bool { return false }
	f.run(30 * time.Second)
	require.Equal(t, 4, f.mostOut)
}

func TestStragglersAndSomeFailuresEjectNoTarget(t *testing.T) {
	rng := rand.New(rand.NewPCG(8, 9))
	f := newFleet(func(now time.Duration, i, kind int) (eject.Outcome, time.Duration) {
		o, ran := healthy(now, i, kind)
		if rng.IntN(100) == 0 {
			ran *= 10
		}
		if rng.IntN(20) == 0 {
			o = eject.Failed
		}
		return o, ran
	})
	f.probe = func(time.Duration, int) bool {
		require.Fail(t, "a target was ejected", "%v", f.reasons())
		return false
	}
	f.run(2 * time.Minute)
}

func TestFlappingTargetIsEjected(t *testing.T) {
	var r roster.Roster
	d := eject.New(&r, &eventLog{})
	for i := range targets {
		r.Announce(fmt.Sprint("other", i), "a", "kl-1", "r1", slot, start)
	}
	var id target.ID
	for i := range 3 {
		now := start.Add(time.Duration(i) * 10 * time.Second)
		id, _ = r.Announce("flaps", fmt.Sprint(i), "kl-1", "r1", slot, now)
		d.Announced(id, "flaps", now)
		d.Announced(id, "flaps", now)
	}
	require.False(t, r.Usable(id))
	d.Tick(start.Add(30*time.Second), func(due target.ID) { d.Probed(due, true, start.Add(30*time.Second)) })
	require.True(t, r.Usable(id))
}

func TestRefusalsAreNoEvidence(t *testing.T) {
	f := newFleet(healthy)
	id := target.New(3, 1)
	f.detector.Sent(id, runTime, start)
	f.detector.Sent(id, runTime, start)
	f.detector.Dropped(id)
	late := start.Add(time.Minute)
	f.detector.Tick(late, nil)
	require.Equal(t, eventLog{"target-slow"}, f.events, "a refusal is no progress of the target")
	f.detector.Probed(id, true, late)
	f.detector.Dropped(id)
	f.detector.Tick(late.Add(time.Minute), nil)
	require.Zero(t, f.out(), "nothing is in flight")
}

func TestLateOutcomesOfARemovedTargetAreIgnored(t *testing.T) {
	f := newFleet(healthy)
	id := target.New(3, 1)
	f.detector.Gone(id, start)
	for range 2 * slotsEach {
		f.detector.Ended(id, "0", eject.Failed, start)
	}
	require.Zero(t, f.out())
}

func (f *fleet) reasons() (all []string) {
	for i := range targets {
		reason, _ := f.detector.Out(target.New(uint32(i), 1))
		all = append(all, reason)
	}
	return all
}
