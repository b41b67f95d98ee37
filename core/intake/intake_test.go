package intake_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/intake"
)

var start = time.Unix(1_000_000, 0)

func TestLimitsFollowFromTheSettings(t *testing.T) {
	require.Equal(t, intake.Limits{}, intake.LimitsOf(0, 0, 32<<10))
	require.Equal(t, intake.Limits{Conns: 90, Bytes: 4 << 20, Buffer: 32 << 10}, intake.LimitsOf(64<<20, 320, 32<<10))
	require.Equal(t, intake.Limits{Conns: 2016, Bytes: 252 << 17, Buffer: 32 << 10}, intake.LimitsOf(284<<20, 4100, 32<<10))
	require.Equal(t, intake.Limits{Conns: 64, Bytes: 4 << 20, Buffer: 128 << 10}, intake.LimitsOf(64<<20, 320, 128<<10))
	require.Equal(t, 8, intake.LimitsOf(0, 100, 32<<10).Conns)
}

func TestLimitsOfUnidentifiedConnectionsFollowFromTheSettings(t *testing.T) {
	require.Equal(t, intake.Limits{}, intake.UnidentifiedLimits(0, 0, 1))
	require.Equal(t, intake.Limits{Conns: 15, Bytes: 2 << 20}, intake.UnidentifiedLimits(64<<20, 320, 1))
	require.Equal(t, intake.Limits{Conns: 8, Bytes: 1 << 20}, intake.UnidentifiedLimits(64<<20, 320, 2))
}

// TestTheAddressWithMostConnectionsLosesItsOldestIdleOne guards against a crowd that closes the connections of other callers.
func TestTheAddressWithMostConnectionsLosesItsOldestIdleOne(t *testing.T) {
	i := intake.New(intake.Limits{Conns: 3})
	other, _, _ := i.Open(start, "other")
	served, _, _ := i.Open(start, "crowd")
	idle, _, _ := i.Open(start.Add(time.Second), "crowd")
	serve(t, i, served)
	next, victim, ok := i.Open(start.Add(time.Minute), "third")
	require.True(t, ok)
	require.Equal(t, idle, victim)
	serve(t, i, other)
	serve(t, i, next)
	_, _, ok = i.Open(start, "third")
	require.False(t, ok, "each connection serves a request")
	i.Await(start.Add(time.Minute), served)
	_, victim, ok = i.Open(start, "third")
	require.True(t, ok)
	require.Equal(t, served, victim)
}

// TestAConnectionThatIsClosedForANewOneHoldsItsBytesUntilItIsReleased guards against connections whose memory isn't free yet when the
// account has forgotten them.
func TestAConnectionThatIsClosedForANewOneHoldsItsBytesUntilItIsReleased(t *testing.T) {
	i := intake.New(intake.Limits{Conns: 1, Bytes: 100})
	first, _, _ := i.Open(start, "a")
	require.Empty(t, hold(t, i, start, first, 80))
	second, victim, ok := i.Open(start, "a")
	require.True(t, ok)
	require.Equal(t, first, victim)
	require.Equal(t, 1, i.Conns())
	require.EqualValues(t, 80, i.Bytes())
	ok, _ = i.Serve(first)
	require.False(t, ok)
	_, _, ok = i.Open(start, "a")
	require.False(t, ok, "as many as are admitted haven't been released")
	i.Close(first)
	require.Zero(t, i.Bytes())
	_, victim, ok = i.Open(start, "a")
	require.True(t, ok)
	require.Equal(t, second, victim)
}

// serve calls Serve, which must admit the request.
func serve(t *testing.T, i *intake.Intake, id uint64) {
	t.Helper()
	ok, full := i.Serve(id)
	require.True(t, ok)
	require.False(t, full)
}

// TestSomeConnectionsAreKeptFromRequestsThatTakeLong guards against callers whose requests take all connections, so that no other one is
// answered.
func TestSomeConnectionsAreKeptFromRequestsThatTakeLong(t *testing.T) {
	const conns, kept = 16, 2
	i := intake.New(intake.Limits{Conns: conns})
	var ids []uint64
	for range conns - 1 {
		id, _, _ := i.Open(start, "crowd")
		ids = append(ids, id)
	}
	for _, id := range ids[:conns-kept] {
		serve(t, i, id)
	}
	ok, full := i.Serve(ids[conns-kept])
	require.False(t, ok)
	require.True(t, full)
	other, _, ok := i.Open(start, "other")
	require.True(t, ok)
	serve(t, i, other) // of an address with fewer connections
	i.Await(start, ids[0])
	i.Close(ids[1])
	serve(t, i, ids[conns-kept])
}

// hold calls Hold, which must not tell to wait.
func hold(t *testing.T, i *intake.Intake, now time.Time, id uint64, bytes int64) []uint64 {
	t.Helper()
	victims, wait := i.Hold(now, id, bytes)
	require.False(t, wait)
	return victims
}

func TestTheLargestAndSlowestRequestIsGivenUp(t *testing.T) {
	i, later := intake.New(intake.Limits{Bytes: 100}), start.Add(time.Second)
	slow, _, _ := i.Open(start, "a")
	large, _, _ := i.Open(start, "b")
	require.Empty(t, hold(t, i, start, slow, 40))
	require.Empty(t, hold(t, i, later, large, 60))
	require.Equal(t, []uint64{slow}, hold(t, i, later, large, 70))
	require.Equal(t, []uint64{slow}, hold(t, i, later, slow, 50), "a request that was given up stays so")
	hold(t, i, later, slow, 0)
	require.Empty(t, hold(t, i, later, large, 1000), "a request that is alone is read")
}

// TestNoMoreIsHeldWhileGivenUpRequestsHoldTheirBytes guards against a crowd that is given up faster than its memory is released.
func TestNoMoreIsHeldWhileGivenUpRequestsHoldTheirBytes(t *testing.T) {
	i, later := intake.New(intake.Limits{Bytes: 100}), start.Add(time.Second)
	slow, _, _ := i.Open(start, "a")
	next, _, _ := i.Open(start, "a")
	require.Empty(t, hold(t, i, start, slow, 100))
	require.Equal(t, []uint64{slow}, hold(t, i, later, next, 60))
	_, wait := i.Hold(later, next, 101)
	require.True(t, wait, "200 bytes at most, with those not released")
	require.EqualValues(t, 160, i.Bytes())
	hold(t, i, later, slow, 0)
	require.EqualValues(t, 60, i.Bytes())
	require.Empty(t, hold(t, i, later, next, 101))
	i.GiveUp(next)
	ok, _ := i.Serve(next)
	require.False(t, ok)
}

// TestFramingIsPaced guards against bodies in chunks of one byte that take the processor from ordinary callers.
func TestFramingIsPaced(t *testing.T) {
	const rate, body, step = 1000, 500, 100
	i, until := intake.New(intake.Limits{Framing: rate}), start.Add(10*time.Second)
	for range 6 * body / step {
		wait, ok := i.Pace(start, until, step, body)
		require.True(t, ok)
		require.Zero(t, wait, "the framing of one body of the largest size is free in calm")
	}
	for n := range 100 {
		wait, ok := i.Pace(start, until, step, body)
		require.True(t, ok)
		require.Equal(t, time.Duration(n+1)*step*time.Second/rate, wait)
	}
	_, ok := i.Pace(start, until, step, body)
	require.False(t, ok, "what couldn't be read in time is refused at once")
	wait, ok := i.Pace(start.Add(time.Minute), start.Add(time.Hour), step, body)
	require.True(t, ok)
	require.Zero(t, wait)
	var l intake.Limits
	wait, ok = intake.New(l).Pace(start, start, 1<<40, 1)
	require.True(t, ok, "no limit")
	require.Zero(t, wait)
}

// TestBytesStayWithinTheBudget plays random connections: what is held exceeds the budget only by a request that is alone, and the account
// is empty at the end.
func TestBytesStayWithinTheBudget(t *testing.T) {
	const budget, conns, steps = 1000, 20, 5000
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		i, now := intake.New(intake.Limits{Conns: conns, Bytes: budget}), start
		var open []uint64
		held := map[uint64]int64{}   // of requests that go on
		ending := map[uint64]int64{} // of requests that were given up
		release := func(id uint64) {
			delete(held, id)
			delete(ending, id)
		}
		var closing []uint64 // closed for new ones, not yet released
		closed := func(id uint64) {
			if n := held[id]; n > 0 {
				ending[id] = n
			}
			delete(held, id)
			closing = append(closing, id)
		}
		for range steps {
			now = now.Add(time.Duration(rng.IntN(100)) * time.Millisecond)
			id, victim, ok := uint64(0), uint64(0), false
			if rng.IntN(3) == 0 {
				if id, victim, ok = i.Open(now, string(rune('a'+rng.IntN(3)))); ok {
					open = append(open, id)
				}
				if victim != 0 {
					open = slices.DeleteFunc(open, func(o uint64) bool { return o == victim })
					closed(victim)
				}
			}
			require.LessOrEqual(t, i.Conns(), conns)
			if len(closing) > 0 && rng.IntN(2) == 0 {
				i.Close(closing[0])
				release(closing[0])
				closing = closing[1:]
			}
			if len(open) == 0 {
				continue
			}
			id = open[rng.IntN(len(open))]
			switch rng.IntN(4) {
			case 0:
				i.Close(id)
				release(id)
				open = slices.DeleteFunc(open, func(o uint64) bool { return o == id })
			case 1:
				i.Await(now, id)
				release(id)
			default:
				before, wanted := held[id], held[id]*2+10
				held[id] = wanted
				victims, wait := i.Hold(now, id, wanted)
				if wait {
					held[id] = before
				}
				if !wait && !slices.Contains(victims, id) && i.Bytes() > 2*budget {
					require.Equal(t, wanted, i.Bytes(), "seed %d: more than twice the budget, and not alone", seed)
				}
				for _, v := range victims {
					if v == id {
						held[id] = before
					}
					if _, given := ending[v]; !given {
						ending[v] = held[v]
					}
					delete(held, v)
				}
			}
			goingOn, total := int64(0), int64(0)
			for _, n := range held {
				goingOn, total = goingOn+n, total+n
			}
			for _, n := range ending {
				total += n
			}
			require.Equal(t, total, i.Bytes(), "seed %d", seed)
			require.True(t, goingOn <= budget || len(held) == 1, "seed %d: %d bytes of %d requests", seed, goingOn, len(held))
		}
		for _, id := range append(open, closing...) {
			i.Close(id)
		}
		require.Zero(t, i.Bytes())
		require.Zero(t, i.Conns())
	}
}
