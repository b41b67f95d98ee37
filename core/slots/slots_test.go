package slots

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"persimmonstage/core/needs"
)

var start = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func host() *Slots {
	s := &Slots{}
	s.SetCapacity(needs.Vector{Cores: 64, MemoryMB: 128_000, Accelerators: 2})
	return s
}

func lease(key string, urgency, memory int) Lease {
	return Lease{Key: key, Team: "a", Kind: "x", Urgency: urgency, Needs: needs.Vector{Cores: 4, MemoryMB: memory}}
}

func take(t *testing.T, s *Slots, leases ...Lease) {
	t.Helper()
	for _, l := range leases {
		require.NoError(t, s.Take(l))
	}
}

func memoryMB(n int) needs.Vector { return needs.Vector{Cores: 4, MemoryMB: n} }

func TestTakeRefusesWhatDoesNotFit(t *testing.T) {
	s := host()
	take(t, s, lease("1", 0, 100_000))
	err := s.Take(lease("2", 0, 30_000))
	var full *FullError
	require.True(t, errors.As(err, &full))
	require.Equal(t, "memory-mb", full.Need)
	require.False(t, s.Fits("a", "x", memoryMB(30_000)))
	require.True(t, s.End("1", start))
	require.False(t, s.End("1", start))
	take(t, s, lease("2", 0, 30_000))
}

func TestSizeIsTheDominantShare(t *testing.T) {
	s := host()
	require.EqualValues(t, 500, s.Size("a", "x", needs.Vector{Cores: 4, MemoryMB: 64_000}))
	require.EqualValues(t, 1000, s.Size("a", "x", needs.Vector{Accelerators: 2}))
	require.Equal(t, "accelerators", s.FirstExceeding(needs.Vector{Accelerators: 3}))
}

func TestUsageAboveTheLeaseTakesFreeCapacity(t *testing.T) {
	s := host()
	take(t, s, lease("1", 0, 10_000))
	s.Report("1", memoryMB(90_000), at(time.Second))
	s.Report("1", memoryMB(10_000), start)
	require.Equal(t, 38_000, s.Free().MemoryMB, "an older report changes nothing")
}

// runTasks runs n tasks one after another that declare one size and use another.
func runTasks(t *testing.T, s *Slots, n, declared, used int) {
	t.Helper()
	for i := range n {
		now := at(time.Duration(i) * time.Minute)
		key := fmt.Sprint(declared, "-", i)
		take(t, s, lease(key, 0, declared))
		s.Report(key, memoryMB(used), now.Add(time.Second))
		require.True(t, s.End(key, now.Add(2*time.Second)))
		s.Guard(now.Add(30 * time.Second))
	}
}

func TestDeclaredSizesTenTimesOffAreCorrected(t *testing.T) {
	s := host()
	runTasks(t, s, 4, 1000, 10_000)
	require.InEpsilon(t, 10_000, s.Correct("a", "x", memoryMB(1000)).MemoryMB, 0.15)

	s = host()
	runTasks(t, s, 60, 10_000, 1000)
	require.InEpsilon(t, 1250, s.Correct("a", "x", memoryMB(10_000)).MemoryMB, 0.2)
	require.Equal(t, memoryMB(10_000), s.Correct("a", "y", memoryMB(10_000)), "another kind is not corrected")
}

func TestACorrectionNeverExceedsTheHost(t *testing.T) {
	s := host()
	runTasks(t, s, 4, 1000, 16_000)
	require.Equal(t, 128_000, s.Correct("a", "x", memoryMB(100_000)).MemoryMB)
}

func TestExactSizesStayExact(t *testing.T) {
	s := host()
	runTasks(t, s, 20, 64_000, 64_000)
	take(t, s, lease("1", 0, 64_000), lease("2", 0, 64_000))
}

func TestALateReportAfterTheEndIsLearnedFrom(t *testing.T) {
	s := host()
	take(t, s, lease("1", 0, 1000))
	s.End("1", start)
	s.Report("1", memoryMB(8000), at(4*time.Second))
	require.Equal(t, 128_000, s.Free().MemoryMB)
	s.Guard(at(10 * time.Second))
	require.Greater(t, s.Correct("a", "x", memoryMB(1000)).MemoryMB, 4000)
}

func TestGuardEvictsTheLeastUrgentAndOnlyWhatIsNeeded(t *testing.T) {
	s := host()
	urgent, low, lower := lease("urgent", 9, 30_000), lease("low", 1, 30_000), lease("lower", 0, 30_000)
	low.Checkpointing = true
	take(t, s, urgent, low, lower)
	s.Report("urgent", memoryMB(60_000), start)
	s.Report("low", memoryMB(34_000), start)
	s.Report("lower", memoryMB(30_000), start)
	require.Equal(t, []Action{{Stop, "lower", MemoryShort}}, s.Guard(start))
	require.Empty(t, s.Guard(at(time.Second)), "the reports lag, and the requested action is pending")
	require.Equal(t, []Action{{Stop, "lower", MemoryShort}}, s.Guard(at(5*time.Second)), "requested again after the timeout")
	s.End("lower", at(6*time.Second))
	require.Empty(t, s.Guard(at(20*time.Second)))
}

func TestGuardProjectsGrowthOverTheLag(t *testing.T) {
	s := host()
	take(t, s, lease("steady", 5, 60_000), lease("grows", 1, 10_000))
	s.Report("steady", memoryMB(60_000), start)
	s.Report("grows", memoryMB(40_000), start)
	s.Report("steady", memoryMB(60_000), at(2*time.Second))
	s.Report("grows", memoryMB(50_000), at(2*time.Second))
	require.Empty(t, s.Guard(at(2*time.Second)))
	require.Equal(t, []Action{{Throttle, "grows", MemoryShort}}, s.Guard(at(4*time.Second)))
	require.False(t, s.Fits("b", "x", memoryMB(1)), "no starts while memory is short")
	require.Equal(t, []Action{{Stop, "grows", MemoryShort}}, s.Guard(at(5*time.Second)))
}

func TestACheckpointThatHasNoEffectBecomesAStop(t *testing.T) {
	s := host()
	l := lease("1", 0, 60_000)
	l.Checkpointing = true
	take(t, s, l)
	s.Report("1", memoryMB(127_000), start)
	var verbs []Verb
	for i := range 3 {
		for _, a := range s.Guard(at(time.Duration(i) * actionTimeout)) {
			verbs = append(verbs, a.Verb)
		}
	}
	require.Equal(t, []Verb{Checkpoint, Checkpoint, Stop}, verbs)
}

func TestGuardThrottlesWhatUsesMoreCoresThanItHoldsAndResumes(t *testing.T) {
	s := host()
	take(t, s, lease("within", 0, 100), lease("over", 1, 100))
	s.Report("within", needs.Vector{Cores: 4}, start)
	s.Report("over", needs.Vector{Cores: 60}, start)
	require.Equal(t, []Action{{Throttle, "over", CoresShort}}, s.Guard(start))
	require.Empty(t, s.Guard(at(time.Second)))
	s.Report("over", needs.Vector{Cores: 20}, at(2*time.Second))
	require.Empty(t, s.Guard(at(3*time.Second)))
	require.Equal(t, []Action{{Resume, "over", Relieved}}, s.Guard(at(6*time.Second)))
}

func TestNoActionOnAHostFullOfTasksWithinTheirNeeds(t *testing.T) {
	s := host()
	for i := range 16 {
		key := fmt.Sprint(i)
		take(t, s, lease(key, i, 7000))
		s.Report(key, memoryMB(7000), start)
	}
	require.Empty(t, s.Guard(start))
}

// Guards against stopping tasks on a host that is full by their declared needs, before any report has arrived.
func TestNoActionWhenMemoryIsFullWithinTheNeeds(t *testing.T) {
	s := host()
	for i := range 8 {
		take(t, s, lease(fmt.Sprint(i), i, 16_000))
	}
	require.Empty(t, s.Guard(start))
	s.Report("0", memoryMB(16_000), start)
	require.Empty(t, s.Guard(start))
}

func TestALapsedLeaseIsStoppedButHoldsCapacityUntilItsEnd(t *testing.T) {
	s := host()
	l := lease("1", 9, 100_000)
	l.Expires = at(time.Second)
	take(t, s, l)
	require.True(t, s.Renew("1", at(2*time.Second)))
	require.Empty(t, s.Guard(at(time.Second)))
	require.Equal(t, []Action{{Stop, "1", LeaseLapsed}}, s.Guard(at(2*time.Second)))
	require.False(t, s.Fits("a", "x", memoryMB(100_000)))
	s.End("1", at(3*time.Second))
	require.True(t, s.Fits("a", "x", memoryMB(100_000)))
}

// After any sequence of reports, ended leases return exactly what they took, and no task is evicted while a less urgent
// one whose memory use is known stays.
func TestCapacityIsReturnedAndUrgentTasksAreEvictedLast(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := host()
		now := start
		urgency := map[string]int{}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			key := fmt.Sprint(rapid.IntRange(0, i).Draw(t, "key"))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				l := lease(fmt.Sprint(i), rapid.IntRange(0, 5).Draw(t, "urgency"), rapid.IntRange(0, 60_000).Draw(t, "mb"))
				if s.Take(l) == nil {
					urgency[l.Key] = l.Urgency
				}
			case 1:
				s.Report(key, needs.Vector{
					Cores: rapid.IntRange(0, 80).Draw(t, "cores"), MemoryMB: rapid.IntRange(0, 90_000).Draw(t, "used"),
				}, now)
			case 2:
				if s.End(key, now) {
					delete(urgency, key)
				}
			default:
				checkOrder(t, s, s.Guard(now), now)
			}
		}
		for key := range urgency {
			require.True(t, s.End(key, now))
		}
		require.Equal(t, s.capacity, s.Free())
	})
}

func checkOrder(t *rapid.T, s *Slots, actions []Action, now time.Time) {
	for _, a := range actions {
		if a.Cause != MemoryShort || a.Verb == Throttle {
			continue
		}
		for _, h := range s.leases {
			stays := h.forgetAt.IsZero() && h.projectedMemory(now) > 0
			if stays && h.lease.Urgency < s.leases[a.Key].lease.Urgency {
				t.Fatalf("evicted %s before the less urgent %s", a.Key, h.lease.Key)
			}
		}
	}
}
