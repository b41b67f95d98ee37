package place_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/needs"
	"persimmonstage/core/place"
	"persimmonstage/core/roster"
	"persimmonstage/core/speed"
	"persimmonstage/core/target"
)

var (
	start = time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC)
	slot  = needs.Vector{Slots: 1}
)

// fixedSpeeds expects the declared run time multiplied by the factor of the target.
type fixedSpeeds []float64

func (fixedSpeeds) Kind(string) int { return 0 }

func (f fixedSpeeds) Expect(id target.ID, _ int, declared time.Duration) time.Duration {
	if id.Index() < len(f) {
		return time.Duration(float64(declared) * f[id.Index()])
	}
	return declared
}

func newRoster(n, slots int, dataCentres ...string) *roster.Roster {
	r := &roster.Roster{}
	for i := range n {
		name := fmt.Sprintf("target-%05d", i)
		r.Announce(name, "a", dataCentres[i%len(dataCentres)], fmt.Sprint("rack-", i%3), needs.Vector{Slots: slots}, start)
	}
	return r
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func newRequest(n int, declared time.Duration) *place.Request {
	a := &place.Request{Kind: "renewal", DataCentre: "kl-1"}
	for range n {
		a.Tasks = append(a.Tasks, place.Task{Needs: slot, Declared: declared})
	}
	return a
}

func TestStartsAtTheFastestTargetWithRoom(t *testing.T) {
	r := newRoster(4, 1, "kl-1")
	p := place.New(place.IdleFirst, r, fixedSpeeds{4, 1, 1.5, 4}, time.Millisecond)
	for _, want := range []int{1, 2} {
		c := p.Place(start, newRand(), newRequest(1, 100*time.Millisecond), nil)[0]
		require.Equal(t, want, c.Target().Index())
		require.Empty(t, c.Reserve())
	}
}

func TestLeavesTheDataCentreOnlyForMoreThanTheRoundTrip(t *testing.T) {
	r := newRoster(2, 1, "kl-1", "kl-2")
	for declared, want := range map[time.Duration]int{time.Millisecond: 0, 50 * time.Millisecond: 1} {
		p := place.New(place.IdleFirst, r, fixedSpeeds{1, 0.9}, 2*time.Millisecond)
		c := p.Place(start, newRand(), newRequest(1, declared), nil)[0]
		require.Equal(t, want, c.Target().Index())
		r.Ended(c.Target(), slot, c.Work())
	}
}

func TestBoundsTheWaitUntilTheLastAttempt(t *testing.T) {
	r := newRoster(2, 1, "kl-1")
	p := place.New(place.Bounded, r, fixedSpeeds{}, time.Millisecond)
	a := newRequest(4, 100*time.Millisecond)
	for i, c := range p.Place(start, newRand(), a, nil) {
		require.Equal(t, i >= 2, c.Wait() > 0)
		require.Greater(t, c.MaxWait(), c.Wait())
		require.Less(t, c.MaxWait(), c.Wait()+2*c.Work()+c.Wait())
	}
	a.Attempt = 2
	require.Equal(t, time.Duration(math.MaxInt64), p.Place(start, newRand(), a, nil)[0].MaxWait())
}

func TestReservesWhenNothingHasRoom(t *testing.T) {
	r := newRoster(3, 1, "kl-1")
	p := place.New(place.IdleFirst, r, fixedSpeeds{}, time.Millisecond)
	out := p.Place(start, newRand(), newRequest(4, 100*time.Millisecond), nil)
	for i := range 3 {
		require.Empty(t, out[i].Reserve())
	}
	require.Len(t, out[3].Reserve(), 2)
	require.Equal(t, out[3].Target(), out[3].Reserve()[0])
	require.Positive(t, out[3].Wait())
}

func TestSpreadsAJobOverRacks(t *testing.T) {
	r := newRoster(9, 8, "kl-1")
	out := place.New(place.IdleFirst, r, fixedSpeeds{}, 0).Place(start, newRand(), newRequest(9, time.Second), nil)
	racks := map[string]int{}
	for _, c := range out {
		racks[r.Rack(c.Target())]++
	}
	require.Equal(t, map[string]int{"rack-0": 3, "rack-1": 3, "rack-2": 3}, racks)
}

func TestLongestTaskGoesToTheFastestTarget(t *testing.T) {
	r := newRoster(2, 1, "kl-1")
	a := newRequest(2, 10*time.Millisecond)
	a.Tasks[1].Declared = time.Second
	out := place.New(place.IdleFirst, r, fixedSpeeds{2, 1}, 0).Place(start, newRand(), a, nil)
	require.Equal(t, 1, out[1].Target().Index())
}

func TestDelaysLargeJobsByTheirTotalWork(t *testing.T) {
	r := newRoster(10, 4, "kl-1")
	p := place.New(place.Bounded, r, fixedSpeeds{}, time.Millisecond)
	delay := func(a *place.Request) time.Duration {
		c := p.Place(start, newRand(), a, nil)[0]
		r.EndedClass(c.Target(), c.Class(), slot, c.Work())
		return c.Delay()
	}
	require.Zero(t, delay(newRequest(41, time.Second)), "only where the agents order their queues by it")
	p.DelayLarge(true)
	require.Zero(t, delay(newRequest(1, time.Second)))
	require.Equal(t, 40*time.Second, delay(newRequest(41, time.Second)), "40 slots complete the job in a second")
	again := newRequest(1, time.Second)
	again.Delay = time.Minute
	require.Equal(t, time.Minute, delay(again))
	short := newRequest(41, time.Second)
	short.Deadline = start.Add(10 * time.Second)
	require.Equal(t, 5*time.Second, delay(short))
}

func TestATaskWithoutNeedsIsPlacedAtAFullTarget(t *testing.T) {
	r := newRoster(2, 1, "kl-1")
	p := place.New(place.Bounded, r, fixedSpeeds{}, time.Millisecond)
	p.Place(start, newRand(), newRequest(2, time.Second), nil)
	a := newRequest(1, time.Second)
	a.Tasks[0].Needs = needs.Vector{}
	c := p.Place(start, newRand(), a, nil)[0]
	require.Zero(t, c.Wait())
	require.Positive(t, c.MaxWait())
	require.Less(t, c.MaxWait(), time.Minute)
}

func TestWaitsWhenNoTargetMayGetWork(t *testing.T) {
	r := newRoster(1, 1, "kl-1")
	id, _ := r.Find("target-00000")
	r.Leave(id)
	out := place.New(place.IdleFirst, r, fixedSpeeds{}, 0).Place(start, newRand(), newRequest(1, time.Second), nil)
	require.True(t, out[0].Waits())
}

// During a flood every target has a backlog, for which another team's task doesn't wait; it waits for its own team's work.
func TestABackloggedTargetIsChosenByTheTeamsOwnWork(t *testing.T) {
	r := newRoster(3, 2, "kl-1")
	p := place.New(place.Bounded, r, fixedSpeeds{}, time.Millisecond)
	for i, flood := range []int{6, 9, 12} {
		id, _ := r.Find(fmt.Sprintf("target-%05d", i))
		for range flood {
			r.Sent(id, slot, time.Second)
		}
	}
	a := newRequest(1, time.Second)
	a.Team, a.TeamFraction = "kits", 0.5
	chosen := map[target.ID]bool{}
	for range 3 {
		c := p.Place(start, newRand(), a, nil)[0]
		require.Less(t, c.MaxWait(), time.Second)
		chosen[c.Target()] = true
	}
	require.Len(t, chosen, 3)
}

func TestATargetThatRefusedIsAvoidedUnlessItIsTheOnlyOne(t *testing.T) {
	for n := 1; n <= 2; n++ {
		r := newRoster(n, 1, "kl-1")
		p := place.New(place.Bounded, r, fixedSpeeds{}, time.Millisecond)
		a := newRequest(1, time.Second)
		a.Avoid, _ = r.Find("target-00000")
		require.Equal(t, n-1, p.Place(start, newRand(), a, nil)[0].Target().Index())
	}
}

// mixedTargets returns targets of four sizes and of speeds up to 4:1 with three quarters of their slots taken, and their speeds.
func mixedTargets(n int) (*roster.Roster, *speed.Table) {
	r, table, rng := &roster.Roster{}, &speed.Table{}, newRand()
	for i := range n {
		size := needs.Vector{Slots: 4 << (i % 4), Cores: 16 << (i % 4), MemoryMB: 32768 << (i % 4)}
		id, _ := r.Announce(fmt.Sprint(i), "a", fmt.Sprint("kl-", i%3), fmt.Sprint(i%40), size, start)
		factor := math.Exp2(2 * rng.Float64())
		for range 4 {
			table.Learn(id, "renewal", 0, time.Duration(factor*float64(100*time.Millisecond)))
		}
		for range rng.IntN(3 * size.Slots / 2) {
			r.Sent(id, slot, 200*time.Millisecond)
		}
	}
	for i := range n {
		id, _ := r.Find(fmt.Sprint(i))
		r.SetSpeedFactor(id, table.Factor(id))
	}
	return r, table
}

func BenchmarkPlaceOne(b *testing.B) {
	for _, n := range []int{10, 260, 2600, 26000} {
		b.Run(fmt.Sprint("targets=", n), func(b *testing.B) {
			r, table := mixedTargets(n)
			p := place.New(place.Bounded, r, table, time.Millisecond)
			rng, a := newRand(), newRequest(1, 100*time.Millisecond)
			var out []place.Choice
			b.ReportAllocs()
			for b.Loop() {
				out = p.Place(start, rng, a, out[:0])
				r.Ended(out[0].Target(), slot, out[0].Work())
			}
		})
	}
}
