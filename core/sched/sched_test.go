package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/batch"
	"persimmonstage/core/fate"
	"persimmonstage/core/route"
)

// rig steps a scheduler and records what it orders.
type rig struct {
	sched   *Sched
	now     time.Time
	starts  []*Start
	places  []string // targets of starts
	stops   []uint64
	fates   map[string]fate.Outcome
	moves   int
	stories []*JobSummary
}

func (g *rig) Start(target string, s *Start) {
	g.starts = append(g.starts, s)
	g.places = append(g.places, target)
}

func (g *rig) Stop(_ string, id uint64)                                                     { g.stops = append(g.stops, id) }
func (g *rig) JobStarted(time.Duration)                                                     {}
func (g *rig) JobAccepted(string, string, int, time.Duration, time.Duration, time.Duration) {}
func (g *rig) AttemptEnded(string, int, string, string, time.Duration)                      {}
func (g *rig) TaskMoved(_, _ string, _ int64)                                               { g.moves++ }
func (g *rig) JobEnded(st *JobSummary)                                                      { g.stories = append(g.stories, st) }

func (g *rig) pass(d time.Duration) { g.now = g.now.Add(d); g.sched.Tick(g.now) }

func (g *rig) ended(target, how string, i int) {
	g.sched.Ended(g.now, target, g.starts[i].Attempt, how)
}

func (g *rig) submit(b *batch.Batch) {
	g.sched.Submit(g.now, b, func(f fate.Outcome) { g.fates[b.ID] = f })
}
func (g *rig) join(name string, pace float64) { g.sched.Join(g.now, name, "1", "z", sound(pace)) }
func (g *rig) hear(name string, usedTasks uint64) {
	g.sched.UpdateTarget(g.now, name, used(usedTasks, g.sched.next))
}

const (
	capacity = 64_000
	need     = 6_000
)

func sound(pace float64) TargetState {
	return TargetState{Service: "s", Millicores: capacity, MemoryMB: 1000, Usable: true, Pace: pace}
}

func used(tasks, seen uint64) TargetState {
	s := sound(1)
	s.UsedMillicores, s.Seen = tasks*need, seen
	return s
}

func newRig() *rig {
	g := &rig{now: time.Unix(1000, 0), fates: map[string]fate.Outcome{}}
	g.sched = New(g, rand.New(rand.NewPCG(1, 2)))
	g.sched.Tick(g.now)
	return g
}

var queue = &route.Route{Name: "q", Service: "s", MaxAttempts: 2, BaseObjective: 60 * time.Millisecond, Stretch: 1.6}

func (g *rig) batch(id string, tasks int, work time.Duration) *batch.Batch {
	return &batch.Batch{
		ID: id, Route: queue, Tasks: tasks, Millicores: need, MemoryMB: 1, Declared: work, Deadline: g.now.Add(1500 * time.Millisecond),
	}
}

func TestAJobIsDoneWhenAllItsTasksAre(t *testing.T) {
	g := newRig()
	g.join("a", 1)
	g.submit(g.batch("j", 2, 100*time.Millisecond))
	require.Len(t, g.starts, 2)
	require.Equal(t, "j.0.0.1", g.starts[1].Task)
	g.ended("a", EndDone, 0)
	require.Empty(t, g.fates)
	g.ended("a", EndDone, 1)
	require.Equal(t, fate.Done, g.fates["j"].Kind)
	g.submit(g.batch("j", 2, 100*time.Millisecond))
	require.Len(t, g.starts, 2, "a request that comes again gets the same answer")
}

func TestATaskIsAttemptedAnewOnlyAfterTheEndOfItsAttempt(t *testing.T) {
	g := newRig()
	g.join("a", 1)
	g.join("b", 1)
	g.submit(g.batch("j", 1, 100*time.Millisecond))
	first := g.places[0]
	g.sched.Disconnect(first, g.now.Add(800*time.Millisecond))
	g.pass(700 * time.Millisecond)
	require.Len(t, g.starts, 1, "it may still run at the lost target")
	g.pass(101 * time.Millisecond)
	require.Len(t, g.starts, 2)
	require.NotEqual(t, first, g.places[1])
	require.Equal(t, 2, g.starts[1].Number)
}

func TestAJobThatWasGivenUpIsNotAttemptedBesideWhatIsLeftOfIt(t *testing.T) {
	g := newRig()
	g.join("a", 1)
	g.submit(g.batch("j", 1, 100*time.Millisecond))
	require.True(t, g.sched.Cancel(g.now, "j", CallerLeft))
	require.Equal(t, []uint64{1}, g.stops)
	g.submit(g.batch("j", 1, 100*time.Millisecond))
	require.Len(t, g.starts, 1, "the stopped attempt has no end yet")
	g.ended("a", EndStopped, 0)
	require.Len(t, g.starts, 2)
	require.Equal(t, 2, g.starts[1].Number)
}

func TestFailuresCountAndOtherEndsDoNot(t *testing.T) {
	g := newRig()
	for _, name := range []string{"a", "b", "c"} {
		g.join(name, 1)
	}
	g.submit(g.batch("j", 1, 50*time.Millisecond))
	for i, how := range []string{EndRefused, EndFailed, EndLapsed, EndFailed} {
		require.Empty(t, g.fates)
		require.Len(t, g.starts, i+1)
		g.ended(g.places[i], how, i)
	}
	require.Equal(t, fate.Failed, g.fates["j"].Kind)
}

func TestARefusalIsTrue(t *testing.T) {
	g := newRig()
	g.join("a", 1)
	g.hear("a", 10)
	g.submit(g.batch("j", 2, 100*time.Millisecond))
	require.Empty(t, g.starts)
	g.pass(30 * time.Millisecond)
	require.Empty(t, g.fates, "its patience is 0.15 of its objective of 220 ms")
	g.pass(20 * time.Millisecond)
	require.Equal(t, fate.Refused, g.fates["j"].Kind)
	require.GreaterOrEqual(t, g.fates["j"].RetryAfter, time.Second)
	g.hear("a", 0)
	g.pass(20 * time.Millisecond)
	require.Empty(t, g.starts, "nothing of a refused job runs")
}

func TestAJobTooLargeForAllIsRefusedAtOnce(t *testing.T) {
	g := newRig()
	g.join("a", 1)
	b := g.batch("j", 1, 100*time.Millisecond)
	b.Millicores = capacity + 1
	g.submit(b)
	require.Equal(t, fate.Refused, g.fates["j"].Kind)
	require.Equal(t, TooLarge, g.fates["j"].Reason)
}

func TestShortTasksLeaveFastTargetsToLongOnes(t *testing.T) {
	g := newRig()
	g.join("fast", 0.6)
	g.join("slow", 1.25)
	g.submit(g.batch("short", 4, 60*time.Millisecond))
	long := g.batch("long", 4, 900*time.Millisecond)
	long.Route = &route.Route{Name: "long", Service: "s", MaxAttempts: 2, BaseObjective: 60 * time.Millisecond, Stretch: 1.6}
	g.submit(long)
	require.Equal(t, []string{"slow", "slow", "slow", "slow", "fast", "fast", "fast", "fast"}, g.places)
}

func TestATaskIsMovedOnceFromATargetThatSeemsSlow(t *testing.T) {
	g := newRig()
	for _, name := range []string{"a", "b", "c"} {
		g.join(name, 1)
	}
	g.submit(g.batch("j", 1, 200*time.Millisecond))
	g.pass(60 * time.Millisecond)
	g.sched.Forecast(g.now, g.places[0], 1, 540*time.Millisecond)
	require.Equal(t, []uint64{1}, g.stops, "a sound target ends it by its objective of 380 ms")
	g.ended(g.places[0], EndStopped, 0)
	g.pass(60 * time.Millisecond)
	g.sched.Forecast(g.now, g.places[1], 2, 540*time.Millisecond)
	require.Equal(t, []uint64{1}, g.stops, "it is as slow at another target, so it is the task that is long")
}

func TestATaskThatIsLateEitherWayStays(t *testing.T) {
	g := newRig()
	g.join("a", 1)
	g.join("b", 1)
	g.submit(g.batch("j", 1, 200*time.Millisecond))
	g.pass(200 * time.Millisecond)
	g.sched.Forecast(g.now, g.places[0], 1, 500*time.Millisecond)
	require.Empty(t, g.stops, "moved it would end at 460 ms, stopped and begun anew, past its objective of 380 ms")
	g.sched.Forecast(g.now, g.places[0], 1, 1000*time.Millisecond)
	require.Equal(t, []uint64{1}, g.stops, "an answer after three objectives is of no use")
}

func TestATaskTooLongForItsTargetWaitsThereForRoomAtAFasterOne(t *testing.T) {
	g := newRig()
	g.join("slow", 1.25)
	g.submit(g.batch("j", 1, 800*time.Millisecond))
	g.join("fast", 0.6)
	full := used(10, g.sched.next)
	full.Pace = 0.6
	g.sched.UpdateTarget(g.now, "fast", full)
	g.pass(100 * time.Millisecond)
	g.sched.Forecast(g.now, "slow", 1, 1600*time.Millisecond)
	require.Empty(t, g.fates, "the fast target could end it in 0.9 s")
	require.Empty(t, g.stops)
	g.submit(g.batch("short", 1, 60*time.Millisecond))
	require.Equal(t, []string{"slow", "slow"}, g.places)
	free := sound(0.6)
	free.Seen = g.sched.next
	g.sched.UpdateTarget(g.now, "fast", free)
	require.Equal(t, []uint64{1}, g.stops)
	g.ended("slow", EndStopped, 0)
	require.Equal(t, []string{"slow", "slow", "fast"}, g.places)
}

func TestATaskIsGivenUpOnceItIsCertainThatItMissesTheDeadline(t *testing.T) {
	g := newRig()
	g.join("a", 1)
	g.submit(g.batch("j", 1, 800*time.Millisecond))
	g.pass(100 * time.Millisecond)
	g.sched.Forecast(g.now, "a", 1, 1420*time.Millisecond)
	require.Empty(t, g.fates, "the look may have been 15 ms off, 15 % of what ran")
	g.pass(900 * time.Millisecond)
	require.Empty(t, g.fates)
	g.pass(300 * time.Millisecond)
	require.Equal(t, fate.Outcome{Kind: fate.Unfinished, Reason: TooLong}, g.fates["j"])
}

func TestATaskTooLongForItsTargetMovesToAFastOneAndIsElseGivenUp(t *testing.T) {
	g := newRig()
	g.join("slow", 1.25)
	g.submit(g.batch("j", 1, 800*time.Millisecond))
	g.join("fast", 0.6)
	g.pass(100 * time.Millisecond)
	g.sched.Forecast(g.now, "slow", 1, 1600*time.Millisecond)
	require.Equal(t, []uint64{1}, g.stops)
	require.Equal(t, 1, g.moves)
	g.ended("slow", EndStopped, 0)
	require.Equal(t, []string{"slow", "fast"}, g.places)
	g.pass(200 * time.Millisecond)
	g.sched.Forecast(g.now, "fast", 2, 1400*time.Millisecond)
	require.Equal(t, fate.Unfinished, g.fates["j"].Kind)
	require.Equal(t, TooLong, g.fates["j"].Reason)
}

func TestATargetThatFailsAllGetsOneAttemptAtATime(t *testing.T) {
	g := newRig()
	g.join("bad", 1)
	for i := range probeFailures {
		b := g.batch(fmt.Sprint("j", i), 1, 50*time.Millisecond)
		b.Route = &route.Route{Name: "once", Service: "s", MaxAttempts: 1, BaseObjective: 60 * time.Millisecond, Stretch: 1.6}
		g.submit(b)
		g.ended("bad", EndFailed, len(g.starts)-1)
	}
	n := len(g.starts)
	g.submit(g.batch("x", 3, 50*time.Millisecond))
	require.Len(t, g.starts, n)
	g.sched.Cancel(g.now, "x", Withdrawn)
	g.pass(probePause)
	g.submit(g.batch("y", 3, 50*time.Millisecond))
	require.Len(t, g.starts, n+1)
	g.ended("bad", EndDone, n)
	require.Len(t, g.starts, n+3)
}

func TestAJobThatArrivesAfterAStallWaitsForTheWordThatItsCallerLeft(t *testing.T) {
	g := newRig()
	g.join("a", 1)
	g.now = g.now.Add(3 * time.Second)
	g.submit(g.batch("j", 1, 100*time.Millisecond))
	require.Empty(t, g.starts)
	g.sched.Cancel(g.now, "j", CallerLeft)
	g.pass(50 * time.Millisecond)
	require.Empty(t, g.starts)
}

func TestTheStoryOfAnEndNamesWhatWasOpen(t *testing.T) {
	g := newRig()
	g.join("a", 1)
	g.submit(g.batch("j", 2, 100*time.Millisecond))
	g.ended("a", EndDone, 0)
	g.pass(1500 * time.Millisecond)
	require.Len(t, g.stories, 1)
	st := g.stories[0]
	require.Equal(t, fate.Unfinished, st.Fate.Kind)
	require.Equal(t, Deadline, st.Fate.Reason)
	require.Equal(t, 1, st.Done)
	require.Equal(t, []string{"a@1.00"}, st.Open)
}

func TestJobsWaitForATargetOnlyWhileARestartIsLikely(t *testing.T) {
	g := newRig()
	g.submit(g.batch("early", 1, 400*time.Millisecond))
	require.Empty(t, g.fates)
	g.pass(100 * time.Millisecond)
	g.join("a", 1)
	require.Len(t, g.starts, 1)
	g.sched.Disconnect("a", g.now)
	g.pass(targetless / 2)
	for range 200 {
		g.pass(20 * time.Millisecond)
	}
	g.submit(g.batch("later", 1, 400*time.Millisecond))
	require.Equal(t, NoTarget, g.fates["later"].Reason)
}

func TestACallerThatLeavesDoesNotTakeTheJobFromAnother(t *testing.T) {
	g := newRig()
	g.join("a", 1)
	ends := map[string]fate.Outcome{}
	b := g.batch("j", 1, 100*time.Millisecond)
	first := g.sched.Submit(g.now, b, func(f fate.Outcome) { ends["first"] = f })
	second := g.sched.Submit(g.now, b, func(f fate.Outcome) { ends["second"] = f })
	g.sched.Leave(g.now, "j", first)
	require.Empty(t, g.stops, "the same job was sent again, and its second caller waits")
	g.ended("a", EndDone, 0)
	require.Equal(t, map[string]fate.Outcome{"second": {Kind: fate.Done}}, ends)
	g.sched.Leave(g.now, "j", second)

	third := g.sched.Submit(g.now, g.batch("k", 1, 100*time.Millisecond), func(fate.Outcome) {})
	g.sched.Leave(g.now, "k", third)
	require.Len(t, g.stops, 1, "nobody waits any more")
}

func TestABegunJobWhoseOtherTasksCantEndInTimeIsGivenUpAtOnce(t *testing.T) {
	g := newRig()
	g.join("a", 1)
	g.hear("a", 9)
	g.submit(g.batch("j", 2, 1000*time.Millisecond))
	require.Len(t, g.starts, 1, "there is room for one task")
	g.sched.UpdateTarget(g.now, "a", used(10, g.sched.next))
	g.pass(900 * time.Millisecond)
	require.Empty(t, g.fates, "it may be shorter than expected")
	g.pass(100 * time.Millisecond)
	require.Equal(t, fate.Outcome{Kind: fate.Unfinished, Reason: NoTimeLeft}, g.fates["j"])
	require.Equal(t, []uint64{1}, g.stops)
}

// TestJobsWaitWhileAllTargetsAreAway replays the wake of an entry whose agents gave it up while it stood still: its jobs wait until
// they are back, and are refused for the true reason if they don't come.
func TestJobsWaitWhileAllTargetsAreAway(t *testing.T) {
	g := newRig()
	g.join("a", 1)
	g.sched.Disconnect("a", g.now.Add(800*time.Millisecond))
	g.submit(g.batch("early", 1, 100*time.Millisecond))
	g.pass(70 * time.Millisecond)
	require.Empty(t, g.fates, "its patience of 33 ms is past, but no target is there")
	g.join("b", 1)
	require.Equal(t, []string{"b"}, g.places)

	g = newRig()
	g.join("a", 1)
	g.sched.Disconnect("a", g.now.Add(800*time.Millisecond))
	g.submit(g.batch("never", 1, 100*time.Millisecond))
	for range 40 {
		g.pass(5 * time.Millisecond)
	}
	require.Equal(t, fate.Refused, g.fates["never"].Kind)
	require.Equal(t, NoTarget, g.fates["never"].Reason)
}

// TestAJobThatNoTargetCanEndInTimeIsRefusedOnceThatIsKnown replays a job of long tasks in a fleet whose fast targets are full.
func TestAJobThatNoTargetCanEndInTimeIsRefusedOnceThatIsKnown(t *testing.T) {
	g := newRig()
	g.join("fast", 0.6)
	full := used(10, g.sched.next)
	full.Pace = 0.6
	g.sched.UpdateTarget(g.now, "fast", full)
	g.join("slow", 1.2)
	g.submit(g.batch("j", 1, 2300*time.Millisecond))
	g.pass(100 * time.Millisecond)
	require.Empty(t, g.fates, "the fast target could still end it in 1.38 s")
	g.pass(30 * time.Millisecond)
	require.Equal(t, fate.Refused, g.fates["j"].Kind, "its patience is half a second")
	require.Equal(t, TooLong, g.fates["j"].Reason)
	g.submit(g.batch("longer", 1, 4*time.Second))
	require.Equal(t, TooLong, g.fates["longer"].Reason)
}

// TestAStuckTaskIsMovedAsSoonAsThereIsRoom replays a task that hangs in a full fleet: the next word of it would come later.
func TestAStuckTaskIsMovedAsSoonAsThereIsRoom(t *testing.T) {
	g := newRig()
	g.join("a", 1)
	g.submit(g.batch("j", 1, 200*time.Millisecond))
	g.join("b", 1)
	g.hear("b", 10)
	g.pass(60 * time.Millisecond)
	g.sched.Forecast(g.now, "a", 1, 20*time.Second)
	require.Empty(t, g.stops, "the other target is full")
	g.now = g.now.Add(30 * time.Millisecond)
	g.hear("b", 9)
	require.Equal(t, []uint64{1}, g.stops)
	g.ended("a", EndStopped, 0)
	require.Equal(t, []string{"a", "b"}, g.places)
}
