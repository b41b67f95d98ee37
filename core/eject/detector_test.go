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
	hung      = time.Hour
)

var (
	start = time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC)
	slot  = needs.Vector{Slots: 1}
)

// fate says how a task of a kind ends at a target.
type fate func(now time.Duration, target, kind int) (eject.Outcome, time.Duration)

// told is what the judge tells of its ejections.
type told []string

func (l *told) Ejected(_ time.Time, _ target.ID, c cause.Cause) { *l = append(*l, string(c)) }

func (l *told) Returned(time.Time, target.ID) { *l = append(*l, "returned") }

type task struct {
	id      target.ID
	kind    string
	work    time.Duration
	outcome eject.Outcome
	ran     time.Duration
	due     time.Duration
}

// fleet is ten targets of eight slots under a load of 80%, stepped by the millisecond.
type fleet struct {
	fate    fate
	probe   func(now time.Duration, target int) bool
	rng     *rand.Rand
	now     time.Duration
	roster  roster.Roster
	table   speed.Table
	judge   *eject.Detector
	placer  *place.Placer
	running []task
	started [targets]int
	mostOut int
	told    told
}

func newFleet(f fate) *fleet {
	fl := &fleet{fate: f, rng: rand.New(rand.NewPCG(1, 2))}
	fl.roster.SetHeartbeatTimeout(time.Hour)
	fl.judge = eject.New(&fl.roster, &fl.told)
	fl.placer = place.New(place.Bounded, &fl.roster, &fl.table, 0)
	for i := range targets {
		id, _ := fl.roster.Announce(fmt.Sprint(i), "a", "kl-1", "r1", needs.Vector{Slots: slotsEach}, start)
		fl.judge.Announced(id, fmt.Sprint(i), start)
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
		f.judge.Tick(start.Add(f.now), func(id target.ID) {
			f.judge.Probed(id, f.probe == nil || f.probe(f.now, id.Index()), start.Add(f.now))
		})
		f.mostOut = max(f.mostOut, f.out())
	}
}

func (f *fleet) out() int {
	n := 0
	for i := range targets {
		if _, out := f.judge.Out(target.New(uint32(i), 1)); out {
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
	f.judge.Sent(id, c.Wait()+c.Work(), start.Add(f.now))
	o, ran := f.fate(f.now, id.Index(), kind)
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
		f.judge.Ended(t.id, t.kind, t.outcome, start.Add(f.now))
		if t.outcome == eject.Succeeded {
			f.table.Learn(t.id, t.kind, runTime, t.ran)
			f.roster.SetSpeedFactor(t.id, f.table.Factor(t.id))
		}
	}
	f.running = kept
}

func well(time.Duration, int, int) (eject.Outcome, time.Duration) { return eject.Succeeded, runTime }

// from lets target 3 have another fate from the tenth second on.
func from(sick fate) fate {
	return func(now time.Duration, i, kind int) (eject.Outcome, time.Duration) {
		if i == 3 && now >= 10*time.Second {
			return sick(now, i, kind)
		}
		return well(now, i, kind)
	}
}

func failFast(time.Duration, int, int) (eject.Outcome, time.Duration) {
	return eject.Failed, time.Millisecond
}

func hang(time.Duration, int, int) (eject.Outcome, time.Duration) { return eject.Succeeded, hung }

func TestFailEverythingIsOutAfterAFewTasks(t *testing.T) {
	f := newFleet(from(failFast))
	f.run(10 * time.Second)
	before := f.started[3]
	f.probe = func(time.Duration, int) bool { return false }
	f.run(time.Minute)
	t.Logf("tasks started at the target that fails everything: %d", f.started[3]-before)
	require.LessOrEqual(t, f.started[3]-before, slotsEach)
	require.Equal(t, 1, f.out())
}

func TestProbeThatSeesNothingCostsFewOrders(t *testing.T) {
	f := newFleet(from(failFast))
	f.run(10 * time.Second)
	before := f.started[3]
	f.run(10*time.Second + 2*time.Minute)
	t.Logf("tasks started in two minutes though every probe finds it well: %d", f.started[3]-before)
	require.LessOrEqual(t, f.started[3]-before, 3*slotsEach)
}

func TestWellAgainComesBack(t *testing.T) {
	f := newFleet(func(now time.Duration, i, kind int) (eject.Outcome, time.Duration) {
		if i == 3 && now < 20*time.Second {
			return failFast(now, i, kind)
		}
		return well(now, i, kind)
	})
	f.probe = func(now time.Duration, _ int) bool { return now >= 20*time.Second }
	f.run(20 * time.Second)
	require.Equal(t, 1, f.out())
	lost := f.started[3]
	f.run(2 * time.Minute)
	require.Zero(t, f.out())
	require.Greater(t, f.started[3]-lost, 1000)
	require.Equal(t, told{"target-fails", "returned"}, f.told)
}

func TestHangIsOut(t *testing.T) {
	f := newFleet(from(hang))
	f.probe = func(time.Duration, int) bool { return false }
	f.run(10 * time.Second)
	before := f.started[3]
	f.run(time.Minute)
	reason, out := f.judge.Out(target.New(3, 1))
	t.Logf("tasks started at the target that hangs: %d", f.started[3]-before)
	require.True(t, out)
	require.Equal(t, "starts tasks and ends none", reason)
	require.Equal(t, told{"target-slow"}, f.told)
	require.LessOrEqual(t, f.started[3]-before, 3*slotsEach)
}

// TestTenTimesSlowerGetsLessButStays shows that a target which turns slow needs no ejection: placement gives it what it can do.
func TestTenTimesSlowerGetsLessButStays(t *testing.T) {
	f := newFleet(from(func(time.Duration, int, int) (eject.Outcome, time.Duration) { return eject.Succeeded, 10 * runTime }))
	f.run(10 * time.Second)
	before := f.started[3]
	f.run(20 * time.Second)
	t.Logf("tasks started in ten seconds at the target that turned ten times slower: %d of %d it could do", f.started[3]-before, 10*slotsEach/2)
	require.LessOrEqual(t, f.started[3]-before, 10*slotsEach/2)
	require.Zero(t, f.out())
}

func TestKindThatFailsEverywhereEjectsNobody(t *testing.T) {
	f := newFleet(func(now time.Duration, i, kind int) (eject.Outcome, time.Duration) {
		if kind == 1 && now >= 10*time.Second {
			return failFast(now, i, kind)
		}
		return well(now, i, kind)
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

func TestSickMajorityKeepsTheFloor(t *testing.T) {
	f := newFleet(func(now time.Duration, i, kind int) (eject.Outcome, time.Duration) {
		if i < 6 && now >= 10*time.Second {
			return failFast(now, i, kind)
		}
		return well(now, i, kind)
	})
	f.probe = func(time.Duration, int) bool { return false }
	f.run(30 * time.Second)
	require.Equal(t, 4, f.mostOut)
}

func TestStragglersAndSomeFailuresEjectNobody(t *testing.T) {
	rng := rand.New(rand.NewPCG(8, 9))
	f := newFleet(func(now time.Duration, i, kind int) (eject.Outcome, time.Duration) {
		o, ran := well(now, i, kind)
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

func TestFlappingIsOut(t *testing.T) {
	var r roster.Roster
	j := eject.New(&r, &told{})
	for i := range targets {
		r.Announce(fmt.Sprint("other", i), "a", "kl-1", "r1", slot, start)
	}
	var id target.ID
	for i := range 3 {
		now := start.Add(time.Duration(i) * 10 * time.Second)
		id, _ = r.Announce("flaps", fmt.Sprint(i), "kl-1", "r1", slot, now)
		j.Announced(id, "flaps", now)
		j.Announced(id, "flaps", now)
	}
	require.False(t, r.Usable(id))
	j.Tick(start.Add(30*time.Second), func(due target.ID) { j.Probed(due, true, start.Add(30*time.Second)) })
	require.True(t, r.Usable(id))
}

func TestRefusalsSpeakNeitherForNorAgainst(t *testing.T) {
	f := newFleet(well)
	id := target.New(3, 1)
	f.judge.Sent(id, runTime, start)
	f.judge.Sent(id, runTime, start)
	f.judge.Dropped(id)
	late := start.Add(time.Minute)
	f.judge.Tick(late, nil)
	require.Equal(t, told{"target-slow"}, f.told, "a refusal is no sign that the target ends anything")
	f.judge.Probed(id, true, late)
	f.judge.Dropped(id)
	f.judge.Tick(late.Add(time.Minute), nil)
	require.Zero(t, f.out(), "nothing is in flight")
}

func TestLateOutcomesOfATargetThatIsGoneTakeNoPlaceAmongThoseOut(t *testing.T) {
	f := newFleet(well)
	id := target.New(3, 1)
	f.judge.Gone(id, start)
	for range 2 * slotsEach {
		f.judge.Ended(id, "0", eject.Failed, start)
	}
	require.Zero(t, f.out())
}

func (f *fleet) reasons() (all []string) {
	for i := range targets {
		reason, _ := f.judge.Out(target.New(uint32(i), 1))
		all = append(all, reason)
	}
	return all
}
