package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/batch"
	"persimmonstage/core/jobend"
	"persimmonstage/core/route"
)

// harness drives a scheduler with a simulated clock and records its orders.
type harness struct {
	sched        *Sched
	now          time.Time
	starts       []*Start
	startTargets []string // target of each start
	stops        []uint64
	outcomes     map[string]jobend.Outcome
	moves        int
	summaries    []*JobSummary
	claims       []string
	claimedUntil time.Time // of the last claim
	outlasted    []string  // attempts that outlasted the resubmission of their job
}

func (h *harness) Start(target string, s *Start) {
	h.starts = append(h.starts, s)
	h.startTargets = append(h.startTargets, target)
}

func (h *harness) Stop(_ string, id uint64) { h.stops = append(h.stops, id) }
func (h *harness) JobClaimed(id string, until time.Time) {
	h.claims = append(h.claims, id)
	h.claimedUntil = until
}

func (h *harness) JobStarted(time.Duration)                                {}
func (h *harness) JobAccepted(*JobArrival)                                 {}
func (h *harness) AttemptEnded(string, int, string, string, time.Duration) {}
func (h *harness) AttemptOutlasted(task string, _ int, _, _ string, by time.Duration) {
	h.outlasted = append(h.outlasted, fmt.Sprint(task, " ", by))
}

func (h *harness) TaskMoved(_, _ string, _ int64) { h.moves++ }

func (h *harness) RouteConfined(string, bool, []string) {}

func (h *harness) JobEnded(st *JobSummary) { h.summaries = append(h.summaries, st) }

func (h *harness) advance(d time.Duration) { h.now = h.now.Add(d); h.sched.Tick(h.now) }

// run advances the clock as an entry that isn't stalled.
func (h *harness) run(d time.Duration) {
	for range d / tickPeriod {
		h.advance(tickPeriod)
	}
}

func (h *harness) endAttempt(target, how string, i int) {
	h.sched.Ended(h.now, target, h.starts[i].Attempt, how)
}

func (h *harness) submit(b *batch.Batch) {
	h.sched.Submit(h.now, b, func(f jobend.Outcome) { h.outcomes[b.ID] = f })
}

func (h *harness) join(name string, pace float64) {
	h.sched.Join(h.now, name, "1", "z", idleState(pace))
}

func (h *harness) reportUsage(name string, usedTasks uint64) {
	h.sched.UpdateTarget(h.now, name, usedState(usedTasks, h.sched.lastAttempt))
}

// tickPeriod is the time between two ticks of an entry that isn't stalled.
const tickPeriod = 10 * time.Millisecond

const (
	capacity       = 64_000
	taskMillicores = 6_000
)

func idleState(pace float64) TargetState {
	return TargetState{Service: "s", Millicores: capacity, MemoryMB: 1000, Usable: true, Pace: pace}
}

func usedState(tasks, seen uint64) TargetState {
	s := idleState(1)
	s.UsedMillicores, s.Seen = tasks*taskMillicores, seen
	return s
}

func newHarness() *harness {
	h := &harness{now: time.Unix(1000, 0), outcomes: map[string]jobend.Outcome{}}
	h.sched = New(h, rand.New(rand.NewPCG(1, 2)))
	h.sched.Tick(h.now)
	return h
}

var testRoute = &route.Route{Name: "q", Service: "s", MaxAttempts: 2, BaseObjective: 60 * time.Millisecond, Stretch: 1.6}

func (h *harness) batch(id string, tasks int, work time.Duration) *batch.Batch {
	return &batch.Batch{
		ID: id, Route: testRoute, Tasks: tasks, Millicores: taskMillicores, MemoryMB: 1, Declared: work, Deadline: h.now.Add(1500 * time.Millisecond),
	}
}

func TestJobIsDoneWhenAllTasksAreDone(t *testing.T) {
	h := newHarness()
	h.join("a", 1)
	h.submit(h.batch("j", 2, 100*time.Millisecond))
	require.Len(t, h.starts, 2)
	require.Equal(t, "j.0.0.1", h.starts[1].Task)
	h.endAttempt("a", EndDone, 0)
	require.Empty(t, h.outcomes)
	h.endAttempt("a", EndDone, 1)
	require.Equal(t, jobend.Done, h.outcomes["j"].Kind)
	h.submit(h.batch("j", 2, 100*time.Millisecond))
	require.Len(t, h.starts, 2, "a repeated request gets the same outcome")
}

func TestATaskIsAttemptedAnewOnlyAfterTheEndOfItsAttempt(t *testing.T) {
	h := newHarness()
	h.join("a", 1)
	h.join("b", 1)
	h.submit(h.batch("j", 1, 100*time.Millisecond))
	first := h.startTargets[0]
	h.sched.Disconnect(first, h.now.Add(800*time.Millisecond))
	h.advance(700 * time.Millisecond)
	require.Len(t, h.starts, 1, "the attempt may still run on the disconnected target")
	h.advance(101 * time.Millisecond)
	require.Len(t, h.starts, 2)
	require.NotEqual(t, first, h.startTargets[1])
	require.Equal(t, 2, h.starts[1].Number)
}

func TestResubmittedJobWaitsForTheEndOfItsStoppedAttempt(t *testing.T) {
	h := newHarness()
	h.join("a", 1)
	h.submit(h.batch("j", 1, 100*time.Millisecond))
	require.True(t, h.sched.Cancel(h.now, "j", CallerLeft))
	require.Equal(t, []uint64{1}, h.stops)
	h.submit(h.batch("j", 1, 100*time.Millisecond))
	require.Len(t, h.starts, 1, "the end of the stopped attempt isn't reported yet")
	h.endAttempt("a", EndStopped, 0)
	require.Len(t, h.starts, 2)
	require.Equal(t, 2, h.starts[1].Number)
}

func TestOnlyFailuresCountAgainstMaxAttempts(t *testing.T) {
	h := newHarness()
	for _, name := range []string{"a", "b", "c"} {
		h.join(name, 1)
	}
	h.submit(h.batch("j", 1, 50*time.Millisecond))
	for i, how := range []string{EndRefused, EndFailed, EndLapsed, EndFailed} {
		require.Empty(t, h.outcomes)
		require.Len(t, h.starts, i+1)
		h.endAttempt(h.startTargets[i], how, i)
	}
	require.Equal(t, jobend.Failed, h.outcomes["j"].Kind)
}

func TestRefusedJobNeverRuns(t *testing.T) {
	h := newHarness()
	h.join("a", 1)
	h.reportUsage("a", 10)
	h.submit(h.batch("j", 2, 100*time.Millisecond))
	require.Empty(t, h.starts)
	h.advance(30 * time.Millisecond)
	require.Empty(t, h.outcomes, "the start deadline is 0.15 of the objective of 220 ms")
	h.advance(20 * time.Millisecond)
	require.Equal(t, jobend.Refused, h.outcomes["j"].Kind)
	require.GreaterOrEqual(t, h.outcomes["j"].RetryAfter, time.Second)
	h.reportUsage("a", 0)
	h.advance(20 * time.Millisecond)
	require.Empty(t, h.starts, "no task of a refused job is started")
}

func TestJobTooLargeForAllTargetsIsRefusedAtOnce(t *testing.T) {
	h := newHarness()
	h.join("a", 1)
	b := h.batch("j", 1, 100*time.Millisecond)
	b.Millicores = capacity + 1
	h.submit(b)
	require.Equal(t, jobend.Refused, h.outcomes["j"].Kind)
	require.Equal(t, TooLarge, h.outcomes["j"].Reason)
}

func TestShortTasksLeaveFastTargetsToLongTasks(t *testing.T) {
	h := newHarness()
	h.join("fast", 0.6)
	h.join("slow", 1.25)
	h.submit(h.batch("short", 4, 60*time.Millisecond))
	long := h.batch("long", 4, 900*time.Millisecond)
	long.Route = &route.Route{Name: "long", Service: "s", MaxAttempts: 2, BaseObjective: 60 * time.Millisecond, Stretch: 1.6}
	h.submit(long)
	require.Equal(t, []string{"slow", "slow", "slow", "slow", "fast", "fast", "fast", "fast"}, h.startTargets)
}

func TestTaskIsMovedOnceFromASlowTarget(t *testing.T) {
	h := newHarness()
	for _, name := range []string{"a", "b", "c"} {
		h.join(name, 1)
	}
	h.submit(h.batch("j", 1, 200*time.Millisecond))
	h.advance(60 * time.Millisecond)
	h.sched.Forecast(h.now, h.startTargets[0], 1, 540*time.Millisecond)
	require.Equal(t, []uint64{1}, h.stops, "another target would end the task by its objective of 380 ms")
	h.endAttempt(h.startTargets[0], EndStopped, 0)
	h.advance(60 * time.Millisecond)
	h.sched.Forecast(h.now, h.startTargets[1], 2, 540*time.Millisecond)
	require.Equal(t, []uint64{1}, h.stops, "the task is as slow on another target, so the task itself is long")
}

func TestTaskIsNotMovedIfItIsLateEitherWay(t *testing.T) {
	h := newHarness()
	h.join("a", 1)
	h.join("b", 1)
	h.submit(h.batch("j", 1, 200*time.Millisecond))
	h.advance(200 * time.Millisecond)
	h.sched.Forecast(h.now, h.startTargets[0], 1, 500*time.Millisecond)
	require.Empty(t, h.stops, "stopped and started anew the task would end at 460 ms, past its objective of 380 ms")
	h.sched.Forecast(h.now, h.startTargets[0], 1, 1000*time.Millisecond)
	require.Equal(t, []uint64{1}, h.stops, "an answer later than three objectives is of no use")
}

func TestTooLongTaskRunsOnUntilAFasterTargetHasRoom(t *testing.T) {
	h := newHarness()
	h.join("slow", 1.25)
	h.submit(h.batch("j", 1, 800*time.Millisecond))
	h.join("fast", 0.6)
	full := usedState(10, h.sched.lastAttempt)
	full.Pace = 0.6
	h.sched.UpdateTarget(h.now, "fast", full)
	h.advance(100 * time.Millisecond)
	h.sched.Forecast(h.now, "slow", 1, 1600*time.Millisecond)
	require.Empty(t, h.outcomes, "the fast target could end the task in 0.9 s")
	require.Empty(t, h.stops)
	h.submit(h.batch("short", 1, 60*time.Millisecond))
	require.Equal(t, []string{"slow", "slow"}, h.startTargets)
	free := idleState(0.6)
	free.Seen = h.sched.lastAttempt
	h.sched.UpdateTarget(h.now, "fast", free)
	require.Equal(t, []uint64{1}, h.stops)
	h.endAttempt("slow", EndStopped, 0)
	require.Equal(t, []string{"slow", "slow", "fast"}, h.startTargets)
}

func TestJobIsEndedOnceATaskIsCertainToMissTheDeadline(t *testing.T) {
	h := newHarness()
	h.join("a", 1)
	h.submit(h.batch("j", 1, 800*time.Millisecond))
	h.advance(100 * time.Millisecond)
	h.sched.Forecast(h.now, "a", 1, 1420*time.Millisecond)
	require.Empty(t, h.outcomes, "the time of the progress may be 15 ms off, 15 % of the run time so far")
	h.run(900 * time.Millisecond)
	require.Empty(t, h.outcomes)
	h.run(300 * time.Millisecond)
	require.Equal(t, jobend.Outcome{Kind: jobend.Unfinished, Reason: TooLong}, h.outcomes["j"])
}

func TestTooLongTaskMovesToAFasterTargetOrEndsTheJob(t *testing.T) {
	h := newHarness()
	h.join("slow", 1.25)
	h.submit(h.batch("j", 1, 800*time.Millisecond))
	h.join("fast", 0.6)
	h.advance(100 * time.Millisecond)
	h.sched.Forecast(h.now, "slow", 1, 1600*time.Millisecond)
	require.Equal(t, []uint64{1}, h.stops)
	require.Equal(t, 1, h.moves)
	h.endAttempt("slow", EndStopped, 0)
	require.Equal(t, []string{"slow", "fast"}, h.startTargets)
	h.advance(200 * time.Millisecond)
	h.sched.Forecast(h.now, "fast", 2, 1400*time.Millisecond)
	require.Equal(t, jobend.Unfinished, h.outcomes["j"].Kind)
	require.Equal(t, TooLong, h.outcomes["j"].Reason)
}

func TestFailingTargetGetsOneAttemptAtATime(t *testing.T) {
	h := newHarness()
	h.join("bad", 1)
	for i := range probeFailures {
		b := h.batch(fmt.Sprint("j", i), 1, 50*time.Millisecond)
		b.Route = &route.Route{Name: "once", Service: "s", MaxAttempts: 1, BaseObjective: 60 * time.Millisecond, Stretch: 1.6}
		h.submit(b)
		h.endAttempt("bad", EndFailed, len(h.starts)-1)
	}
	n := len(h.starts)
	h.submit(h.batch("x", 3, 50*time.Millisecond))
	require.Len(t, h.starts, n)
	h.sched.Cancel(h.now, "x", Withdrawn)
	h.run(probePause)
	h.submit(h.batch("y", 3, 50*time.Millisecond))
	require.Len(t, h.starts, n+1)
	h.endAttempt("bad", EndDone, n)
	require.Len(t, h.starts, n+3)
}

func TestJobIsHeldBackAfterAStall(t *testing.T) {
	h := newHarness()
	h.join("a", 1)
	h.now = h.now.Add(3 * time.Second)
	h.submit(h.batch("j", 1, 100*time.Millisecond))
	require.Empty(t, h.starts)
	h.sched.Cancel(h.now, "j", CallerLeft)
	h.advance(50 * time.Millisecond)
	require.Empty(t, h.starts)
}

// After a stall the entry's timer often comes before the requests that arrived meanwhile.
func TestJobIsHeldBackAfterAStallThatATimerNoticedFirst(t *testing.T) {
	h := newHarness()
	h.join("a", 1)
	h.advance(3 * time.Second)
	h.now = h.now.Add(2 * time.Millisecond)
	h.submit(h.batch("j", 1, 100*time.Millisecond))
	require.Empty(t, h.starts)
	h.sched.Cancel(h.now, "j", CallerLeft)
	h.advance(50 * time.Millisecond)
	require.Empty(t, h.starts)
	h.run(backlogTime)
	h.submit(h.batch("k", 1, 100*time.Millisecond))
	require.Len(t, h.starts, 1)
}

func TestSummaryNamesOpenAttempts(t *testing.T) {
	h := newHarness()
	h.join("a", 1)
	h.submit(h.batch("j", 2, 100*time.Millisecond))
	h.endAttempt("a", EndDone, 0)
	h.advance(1500 * time.Millisecond)
	require.Len(t, h.summaries, 1)
	st := h.summaries[0]
	require.Equal(t, jobend.Unfinished, st.Outcome.Kind)
	require.Equal(t, Deadline, st.Outcome.Reason)
	require.Equal(t, 1, st.Done)
	require.Equal(t, []string{"a@1.00"}, st.Open)
}

func TestJobsWaitWithoutATargetUntilTheTimeout(t *testing.T) {
	h := newHarness()
	h.submit(h.batch("early", 1, 400*time.Millisecond))
	require.Empty(t, h.outcomes)
	h.advance(100 * time.Millisecond)
	h.join("a", 1)
	require.Len(t, h.starts, 1)
	h.sched.Disconnect("a", h.now)
	h.advance(noTargetTimeout / 2)
	for range 200 {
		h.advance(20 * time.Millisecond)
	}
	h.submit(h.batch("later", 1, 400*time.Millisecond))
	require.Equal(t, NoTarget, h.outcomes["later"].Reason)
}

func TestJobContinuesWhileAnotherCallerWaits(t *testing.T) {
	h := newHarness()
	h.join("a", 1)
	ends := map[string]jobend.Outcome{}
	b := h.batch("j", 1, 100*time.Millisecond)
	first := h.sched.Submit(h.now, b, func(f jobend.Outcome) { ends["first"] = f })
	second := h.sched.Submit(h.now, b, func(f jobend.Outcome) { ends["second"] = f })
	h.sched.Leave(h.now, "j", first)
	require.Empty(t, h.stops, "the second caller of the resubmitted job still waits")
	h.endAttempt("a", EndDone, 0)
	require.Equal(t, map[string]jobend.Outcome{"second": {Kind: jobend.Done}}, ends)
	h.sched.Leave(h.now, "j", second)

	third := h.sched.Submit(h.now, h.batch("k", 1, 100*time.Millisecond), func(jobend.Outcome) {})
	h.sched.Leave(h.now, "k", third)
	require.Len(t, h.stops, 1, "no caller is left")
}

func TestStartedJobEndsOnceItsOtherTasksCannotEndInTime(t *testing.T) {
	h := newHarness()
	h.join("a", 1)
	h.reportUsage("a", 9)
	h.submit(h.batch("j", 2, 1000*time.Millisecond))
	require.Len(t, h.starts, 1, "there is room for one task")
	h.sched.UpdateTarget(h.now, "a", usedState(10, h.sched.lastAttempt))
	h.advance(900 * time.Millisecond)
	require.Empty(t, h.outcomes, "the task may be shorter than expected")
	h.advance(100 * time.Millisecond)
	require.Equal(t, jobend.Outcome{Kind: jobend.Unfinished, Reason: NoTimeLeft}, h.outcomes["j"])
	require.Equal(t, []uint64{1}, h.stops)
}

// TestJobsWaitWhileAllTargetsAreDisconnected simulates an entry after a stall in which all its agents disconnected: jobs wait for
// them to reconnect, and are refused with the reason no-target, not overload, if none does.
func TestJobsWaitWhileAllTargetsAreDisconnected(t *testing.T) {
	h := newHarness()
	h.join("a", 1)
	h.sched.Disconnect("a", h.now.Add(800*time.Millisecond))
	h.submit(h.batch("early", 1, 100*time.Millisecond))
	h.advance(70 * time.Millisecond)
	require.Empty(t, h.outcomes, "the start deadline of 33 ms is past, but there is no target")
	h.join("b", 1)
	require.Equal(t, []string{"b"}, h.startTargets)

	h = newHarness()
	h.join("a", 1)
	h.sched.Disconnect("a", h.now.Add(800*time.Millisecond))
	h.submit(h.batch("never", 1, 100*time.Millisecond))
	for range 40 {
		h.advance(5 * time.Millisecond)
	}
	require.Equal(t, jobend.Refused, h.outcomes["never"].Kind)
	require.Equal(t, NoTarget, h.outcomes["never"].Reason)
}

// TestJobThatNoTargetCanEndInTimeIsRefused submits a job that only a fast target, which is full, could end before the deadline:
// it is refused as soon as that target couldn't either, before its start deadline.
func TestJobThatNoTargetCanEndInTimeIsRefused(t *testing.T) {
	h := newHarness()
	h.join("fast", 0.6)
	full := usedState(10, h.sched.lastAttempt)
	full.Pace = 0.6
	h.sched.UpdateTarget(h.now, "fast", full)
	h.join("slow", 1.2)
	h.submit(h.batch("j", 1, 2300*time.Millisecond))
	h.advance(100 * time.Millisecond)
	require.Empty(t, h.outcomes, "the fast target could still end the job in 1.38 s")
	h.advance(30 * time.Millisecond)
	require.Equal(t, jobend.Refused, h.outcomes["j"].Kind, "the start deadline is half a second")
	require.Equal(t, TooLong, h.outcomes["j"].Reason)
	h.submit(h.batch("longer", 1, 4*time.Second))
	require.Equal(t, TooLong, h.outcomes["longer"].Reason)
}

// A task hangs while all other targets are full. Its agent goes on forecasting its end, and it is moved with the first forecast
// after one of them has room.
func TestHangingTaskIsMovedOnceThereIsRoom(t *testing.T) {
	h := newHarness()
	h.join("a", 1)
	h.submit(h.batch("j", 1, 200*time.Millisecond))
	h.join("b", 1)
	h.reportUsage("b", 10)
	h.advance(60 * time.Millisecond)
	h.sched.Forecast(h.now, "a", 1, 20*time.Second)
	require.Empty(t, h.stops, "the other target is full")
	h.now = h.now.Add(30 * time.Millisecond)
	h.reportUsage("b", 9)
	h.sched.Forecast(h.now, "a", 1, 30*time.Second)
	require.Equal(t, []uint64{1}, h.stops)
	h.endAttempt("a", EndStopped, 0)
	require.Equal(t, []string{"a", "b"}, h.startTargets)
}

// An entry that was cut off from all targets held the jobs that ran at that moment until their deadlines, though their attempts
// were over with the leases.
func TestStartedJobEndsWithItsLastAttemptWhenNoTargetIsLeft(t *testing.T) {
	h := newHarness()
	h.join("a", 1)
	h.submit(h.batch("j", 2, 300*time.Millisecond))
	require.Len(t, h.starts, 2)
	h.sched.Disconnect("a", h.now.Add(800*time.Millisecond))
	h.advance(799 * time.Millisecond)
	require.Empty(t, h.outcomes, "the attempts may still run")
	h.advance(2 * time.Millisecond)
	require.Equal(t, jobend.Outcome{Kind: jobend.Unfinished, Reason: NoTarget}, h.outcomes["j"])
}

// Reading what arrived during a stall takes a while.
func TestAJobThatIsReadSomeTimeAfterAStallIsHeldBack(t *testing.T) {
	h := newHarness()
	h.join("a", 1)
	h.advance(3 * time.Second)
	h.run(100 * time.Millisecond)
	h.submit(h.batch("j", 1, 100*time.Millisecond))
	h.run(stallDelay - tickPeriod)
	require.Empty(t, h.starts)
	h.run(2 * tickPeriod)
	require.Len(t, h.starts, 1)
}

// A job that was queued before the stall may have been left during it as well; its caller's retry may run elsewhere by now.
func TestAQueuedJobIsHeldBackAfterAStall(t *testing.T) {
	h := newHarness()
	h.join("a", 1)
	h.reportUsage("a", capacity/taskMillicores)
	slow := *testRoute
	slow.BaseObjective = 20 * time.Second
	b := h.batch("j", 1, 200*time.Millisecond)
	b.Route, b.Deadline = &slow, h.now.Add(30*time.Second)
	h.submit(b)
	require.Empty(t, h.starts)
	h.advance(2 * time.Second)
	require.Empty(t, h.outcomes, "still queued")
	h.now = h.now.Add(time.Millisecond)
	h.join("a", 1) // the agent connected while the process was frozen
	require.Empty(t, h.starts, "started before the end of the caller's connection could be read")
}

// The same for a task of a started job whose attempt ended meanwhile.
func TestARetryIsHeldBackAfterAStall(t *testing.T) {
	h := newHarness()
	h.join("a", 1)
	h.join("b", 1)
	r := &route.Route{Name: "q", Service: "s", MaxAttempts: 3, BaseObjective: 8 * time.Second, Stretch: 2}
	b := h.batch("j", 1, 200*time.Millisecond)
	b.Route, b.Deadline = r, h.now.Add(9*time.Second)
	h.sched.Submit(h.now, b, func(jobend.Outcome) {})
	require.Len(t, h.starts, 1)
	h.now = h.now.Add(2 * time.Second) // frozen; the agent stopped the run for the silence
	h.endAttempt(h.startTargets[0], EndStopped, 0)
	require.Len(t, h.starts, 1, "the caller may have left during the stall and have come again elsewhere")
}

// TestAWithdrawnJobIsNotStartedAgain guards against a job that its caller cancelled and that runs as a whole when its request arrives once
// more; the entry that gets that request may have learnt of the cancelling from another one.
func TestAWithdrawnJobIsNotStartedAgain(t *testing.T) {
	for _, here := range []bool{true, false} {
		h := newHarness()
		h.join("t", 1)
		if here {
			h.submit(h.batch("a", 1, time.Second))
			require.Len(t, h.starts, 1)
		}
		require.Equal(t, here, h.sched.Withdraw(h.now, "a"))
		delete(h.outcomes, "a")
		h.run(4 * time.Second)
		h.submit(h.batch("a", 1, time.Second))
		require.Len(t, h.starts, map[bool]int{true: 1, false: 0}[here])
		require.Equal(t, jobend.Cancelled, h.outcomes["a"].Kind)
	}
}

// newHeldUpHarness returns the harness of an idle entry, and a job whose request may have been held up.
func newHeldUpHarness() (*harness, *batch.Batch) {
	h := newHarness()
	h.join("t", 1)
	h.run(time.Second)
	b := h.batch("a", 1, 100*time.Millisecond)
	b.HeldUp = true
	return h, b
}

// TestAJobWhoseRequestWasHeldUpIsNotStartedBeforeItsCallerIsKnownToBeThere guards against two runs of a task: requests that a cut had held
// up were started beside their repetitions at other entries, some milliseconds before the end of their connections was read.
func TestAJobWhoseRequestWasHeldUpIsNotStartedBeforeItsCallerIsKnownToBeThere(t *testing.T) {
	h, heldUp := newHeldUpHarness()
	caller := h.sched.Submit(h.now, heldUp, func(jobend.Outcome) {})
	h.run(stallDelay - tickPeriod)
	require.Empty(t, h.starts)
	h.sched.Leave(h.now, "a", caller)
	h.run(time.Second)
	require.Empty(t, h.starts)
	again := *heldUp
	again.ID = "b"
	h.submit(&again)
	h.run(2 * stallDelay)
	require.Len(t, h.starts, 1, "its caller is there")
}

// TestAJobThatWasHeldBackIsNoBacklog guards against callers that are refused as if there were an overload: a job that had just been held
// back, and that is started at the next turn, counted as one that waits for room.
func TestAJobThatWasHeldBackIsNoBacklog(t *testing.T) {
	h, heldUp := newHeldUpHarness()
	h.submit(heldUp)
	h.run(stallDelay - tickPeriod/2)
	h.now = h.now.Add(tickPeriod - time.Millisecond)
	h.submit(h.batch("b", 1, 100*time.Millisecond))
	require.NotEqual(t, jobend.Refused, h.outcomes["b"].Kind)
}
