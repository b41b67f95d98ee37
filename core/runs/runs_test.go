package runs

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/crash"
)

// harness drives a table and records the calls of its effects.
type harness struct {
	t     *testing.T
	runs  *Runs
	now   time.Time
	log   []string
	until time.Time
	// changes and fences count the calls of Changed and Fence.
	changes int
	fences  int
}

func (g *harness) Start(k Key, _ *Order, until time.Time) {
	g.until = until
	g.log = append(g.log, fmt.Sprintf("start %s/%d", k.Task, k.Number))
}
func (g *harness) Fence()     { g.fences++ }
func (g *harness) Stop(k Key) { g.log = append(g.log, fmt.Sprintf("stop %s/%d", k.Task, k.Number)) }
func (g *harness) Ended(owner string, attempt uint64, how string, _ uint32) {
	g.log = append(g.log, fmt.Sprintf("ended %s %d %s", owner, attempt, how))
}

func (g *harness) Forecast(owner string, attempt uint64, left time.Duration) {
	g.log = append(g.log, fmt.Sprintf("forecast %s %d %d", owner, attempt, left.Milliseconds()))
}

func (g *harness) Crashed(c *crash.Report) {
	if len(c.Tasks) == 0 {
		g.log = append(g.log, "crashed idle")
	}
	for _, task := range c.Tasks {
		g.log = append(g.log, fmt.Sprintf("crashed %s %d", task.Name, task.Ran.Milliseconds()))
	}
}
func (g *harness) Changed()                                   { g.changes++ }
func (g *harness) Closed(Key, string, uint64, string, uint32) {}

const (
	capacity = 64_000
	need     = 6_000
)

func newInstance(id string, born, seq int64) *Instance {
	return &Instance{ID: id, Addr: "10.0.0.1:80", Born: born, Service: "s", Millicores: capacity, MemoryMB: 1000, Sequence: seq}
}

// newHarness returns a harness whose target is empty and whose owner "e" has just returned a heartbeat.
func newHarness(t *testing.T) *harness {
	g := &harness{t: t, now: time.Unix(1000, 0)}
	g.runs = New(g)
	require.True(t, g.runs.Announced(g.now, newInstance("i-1", 5, 1)))
	g.poll(nil, nil)
	require.True(t, g.runs.Clean())
	g.runs.RecordEcho("e", g.now)
	return g
}

func (g *harness) poll(running []Progress, finished []Finish) {
	g.runs.Listed(g.now, &Listing{Born: g.runs.Instance().Born, Sent: g.now.Add(-time.Microsecond), Running: running, Finished: finished})
}

func (g *harness) order(attempt uint64, task string) {
	g.runs.Order(g.now, "e", &Order{Attempt: attempt, Task: task, Number: 1, Millicores: need, MemoryMB: 1, Expected: 100 * time.Millisecond})
}

func (g *harness) advance(d time.Duration) { g.now = g.now.Add(d) }

// takeLog returns the effects since the last call.
func (g *harness) takeLog() []string {
	out := g.log
	g.log = nil
	return out
}

func listedOne(task string, percent int) []Progress {
	return []Progress{{Key: Key{task, 1}, Percent: percent}}
}

func TestARunEndsOnceWithTheOutcomeOfTheTarget(t *testing.T) {
	g := newHarness(t)
	g.order(1, "a")
	g.runs.StartAnswered(g.now, Key{"a", 1}, Accepted, "")
	require.Equal(t, []string{"start a/1"}, g.takeLog())
	g.advance(50 * time.Millisecond)
	g.poll(listedOne("a", 50), nil)
	g.advance(50 * time.Millisecond)
	end := []Finish{{Key: Key{"a", 1}, Index: 1, How: "done"}}
	g.poll(nil, end)
	g.poll(nil, end)
	require.Equal(t, []string{"ended e 1 done"}, g.takeLog())
	require.Equal(t, int64(1), g.runs.Ack())
	require.Zero(t, g.runs.Len())
}

// newFullHarness returns a harness whose target has no room left; the tasks are t0, t1 and so on.
func newFullHarness(t *testing.T) *harness {
	g := newHarness(t)
	for i := range uint64(capacity / need) {
		g.order(i+1, fmt.Sprint("t", i))
		g.runs.StartAnswered(g.now, Key{fmt.Sprint("t", i), 1}, Accepted, "")
	}
	g.takeLog()
	return g
}

func TestFewOrdersWaitForRoomAndTheOthersAreRefusedAtOnce(t *testing.T) {
	g := newFullHarness(t)
	for i := range uint64(maxWaiting) {
		g.order(90+i, fmt.Sprint("w", i))
	}
	require.Empty(t, g.takeLog())
	require.Greater(t, g.runs.State(g.now, "f").UsedMillicores, uint64(capacity), "the waiting orders are included, so other entries send no more")
	g.order(99, "more")
	require.Equal(t, []string{"ended e 99 room"}, g.takeLog())
	g.runs.Order(g.now, "e", &Order{Attempt: 100, Task: "huge", Number: 1, Millicores: capacity + 1})
	require.Equal(t, []string{"ended e 100 room"}, g.takeLog())
	g.poll(nil, []Finish{{Key: Key{"t0", 1}, Index: 1, How: "done"}})
	require.Equal(t, []string{"ended e 1 done", "start w0/1"}, g.takeLog())
	g.order(101, "late")
	require.Empty(t, g.takeLog())
	g.advance(roomWait)
	g.runs.RecordEcho("e", g.now)
	g.runs.Tick(g.now)
	require.Equal(t, []string{"ended e 101 room"}, g.takeLog())
}

func TestAWaitingOrderIsWithdrawnLikeARun(t *testing.T) {
	g := newFullHarness(t)
	g.order(90, "w")
	g.order(90, "w")
	g.runs.Reconnected(g.now, "e", []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 90})
	require.Empty(t, g.takeLog(), "still waiting")
	g.runs.Stop(g.now, "e", 90)
	require.Equal(t, []string{"ended e 90 stopped"}, g.takeLog())
	g.order(91, "w")
	g.runs.Leave(g.now)
	require.Equal(t, []string{"ended e 91 refused"}, g.takeLog())
}

func TestNothingThatWaitsStartsForASilentOwnerOrBesideItsEarlierRun(t *testing.T) {
	g := newFullHarness(t)
	g.poll(nil, []Finish{{Key: Key{"t0", 1}, Index: 1, How: "done"}})
	g.runs.RecordEcho("f", g.now)
	g.runs.Order(g.now, "f", &Order{Attempt: 1, Task: "w", Number: 1, Millicores: 2 * need, MemoryMB: 1, Expected: time.Second})
	require.Equal(t, []string{"ended e 1 done"}, g.takeLog(), "waits, as it needs more than is free")
	g.order(90, "w")
	require.Equal(t, []string{"start w/1"}, g.takeLog(), "the task's earlier attempt starts meanwhile")
	g.poll(nil, []Finish{{Key: Key{"t1", 1}, Index: 2, How: "done"}, {Key: Key{"t2", 1}, Index: 3, How: "done"}})
	require.Equal(t, []string{"ended e 2 done", "ended f 1 refused", "ended e 3 done"}, g.takeLog())

	g = newFullHarness(t)
	g.order(90, "w")
	g.advance(Tenure + time.Millisecond)
	g.poll(nil, []Finish{{Key: Key{"t0", 1}, Index: 1, How: "done"}})
	require.Equal(t, []string{"ended e 1 done", "ended e 90 refused"}, g.takeLog()[:2])
}

func TestATaskIsNotStartedBesideItsEarlierRun(t *testing.T) {
	g := newHarness(t)
	g.order(1, "a")
	g.runs.RecordEcho("f", g.now)
	g.runs.Order(g.now, "f", &Order{Attempt: 1, Task: "a", Number: 1, Millicores: need, Expected: time.Second})
	require.Equal(t, []string{"start a/1", "ended f 1 refused"}, g.takeLog())
}

func TestAStartThatWasNeverAnsweredIsBarredBeforeItCountsAsOver(t *testing.T) {
	g := newHarness(t)
	g.order(1, "a")
	g.runs.StartAnswered(g.now, Key{"a", 1}, Lost, "timeout")
	g.advance(10 * time.Millisecond)
	g.poll(nil, nil)
	require.Equal(t, []string{"start a/1", "stop a/1"}, g.takeLog(), "not reported as ended: the start may still take effect")
	g.advance(time.Millisecond)
	g.runs.StopAnswered(g.now, Key{"a", 1}, Accepted)
	g.advance(time.Millisecond)
	g.poll(nil, nil)
	require.Equal(t, []string{"ended e 1 stopped"}, g.takeLog())
}

func TestAPollSentBeforeTheStopDoesNotEndTheRun(t *testing.T) {
	g := newHarness(t)
	g.order(1, "a")
	g.runs.StartAnswered(g.now, Key{"a", 1}, Accepted, "")
	g.runs.Stop(g.now, "e", 1)
	sent := g.now
	g.advance(time.Millisecond)
	g.runs.StopAnswered(g.now, Key{"a", 1}, Accepted)
	g.runs.Listed(g.now, &Listing{Sent: sent})
	require.Equal(t, []string{"start a/1", "stop a/1"}, g.takeLog())
	require.Equal(t, 1, g.runs.Len())
}

func TestAStartWhoseAnswerWasLostGoesOnWhereTheTargetListsIt(t *testing.T) {
	g := newHarness(t)
	g.order(1, "a")
	g.runs.StartAnswered(g.now, Key{"a", 1}, Lost, "timeout")
	g.advance(10 * time.Millisecond)
	g.poll(listedOne("a", 10), nil)
	g.advance(90 * time.Millisecond)
	g.poll(nil, []Finish{{Key: Key{"a", 1}, Index: 1, How: "done"}})
	require.Equal(t, []string{"start a/1", "ended e 1 done"}, g.takeLog())
}

func TestRunsOfASilentOwnerAreStoppedWithinTheTenure(t *testing.T) {
	g := newHarness(t)
	g.order(1, "a")
	g.runs.StartAnswered(g.now, Key{"a", 1}, Accepted, "")
	g.takeLog()
	for range 30 {
		g.advance(20 * time.Millisecond)
		g.runs.Tick(g.now)
		g.poll(listedOne("a", 1), nil)
	}
	require.Contains(t, g.takeLog(), "stop a/1")
	g.order(2, "b")
	require.Equal(t, []string{"ended e 2 refused"}, g.takeLog(), "an order of an owner that was silent")
	g.runs.RecordEcho("e", g.now)
	g.order(3, "b")
	require.Equal(t, []string{"start b/1"}, g.takeLog())
}

func TestAnOldEchoDoesNotDrawOutTheTenure(t *testing.T) {
	g := newHarness(t)
	g.advance(Tenure + time.Millisecond)
	g.runs.RecordEcho("e", g.now.Add(-Tenure-time.Millisecond))
	g.order(1, "a")
	require.Equal(t, []string{"ended e 1 refused"}, g.takeLog())
}

func TestTheLeaseOfASilentTargetIsNotDrawnOut(t *testing.T) {
	g := newHarness(t)
	g.order(1, "a")
	g.runs.StartAnswered(g.now, Key{"a", 1}, Accepted, "")
	until, ok := g.runs.ExtendLease(g.now)
	require.True(t, ok)
	require.Equal(t, g.now.Add(Lease), until)
	g.takeLog()
	g.advance(extendWithin + time.Millisecond)
	_, ok = g.runs.ExtendLease(g.now)
	require.False(t, ok)
	g.runs.RecordEcho("e", g.now)
	g.advance(Lease - extendWithin + 20*time.Millisecond)
	g.runs.Tick(g.now)
	require.Equal(t, []string{"ended e 1 lapsed"}, g.takeLog())
}

func TestANewLifeOfTheTargetEndsAllRunsAndWaitsForAnEmptyList(t *testing.T) {
	g := newBusyHarness(t)
	next := newInstance("i-1", 9, 1)
	require.False(t, g.runs.Announced(g.now, next), "same id, later start time")
	require.Empty(t, g.takeLog(), "announced, but not seen at its address")
	require.True(t, g.runs.Identified(g.now, next, &Listing{Born: 9, Sent: g.now}))
	require.Equal(t, []string{"crashed a 0", "ended e 1 crashed"}, g.takeLog())
	g.order(2, "b")
	require.Equal(t, []string{"ended e 2 refused"}, g.takeLog())
	g.poll(listedOne("left", 3), nil)
	require.Equal(t, []string{"stop left/1"}, g.takeLog())
	require.False(t, g.runs.Clean())
	g.poll(nil, nil)
	require.True(t, g.runs.Clean())
}

func TestALateHeartbeatOfAnEarlierInstanceIsIgnored(t *testing.T) {
	g := newHarness(t)
	require.False(t, g.runs.Announced(g.now, newInstance("i-0", 3, 9)))
	require.Equal(t, "i-1", g.runs.Instance().ID)
	draining := newInstance("i-1", 5, 4)
	draining.Draining = true
	g.runs.Announced(g.now, draining)
	g.runs.Announced(g.now, newInstance("i-1", 5, 2))
	require.True(t, g.runs.Instance().Draining, "a heartbeat with an older sequence number is ignored")
}

func TestADrainingTargetGetsNoNewRuns(t *testing.T) {
	g := newHarness(t)
	draining := newInstance("i-1", 5, 2)
	draining.Draining = true
	g.runs.Announced(g.now, draining)
	g.order(1, "a")
	require.Equal(t, []string{"ended e 1 refused"}, g.takeLog())
}

func TestAReconnectedOwnerReceivesTheEndsItMissed(t *testing.T) {
	g := newHarness(t)
	g.order(1, "a")
	g.order(2, "b")
	g.runs.StartAnswered(g.now, Key{"a", 1}, Accepted, "")
	g.runs.StartAnswered(g.now, Key{"b", 1}, Accepted, "")
	g.advance(time.Millisecond)
	g.poll([]Progress{{Key: Key{"b", 1}}}, []Finish{{Key: Key{"a", 1}, Index: 1, How: "failed"}})
	g.takeLog()
	g.runs.Reconnected(g.now, "e", []uint64{1, 2, 3})
	require.Equal(t, []string{"ended e 1 failed", "ended e 3 unknown"}, g.takeLog(), "2 is still running; 3 never arrived")
}

func TestALaterAttemptOfATaskGetsAHigherNumber(t *testing.T) {
	g := newHarness(t)
	g.order(1, "a")
	g.runs.StartAnswered(g.now, Key{"a", 1}, Rejected, "late")
	g.order(2, "a")
	require.Equal(t, []string{"start a/1", "ended e 1 late", "start a/2"}, g.takeLog())
}

func TestAnUnusuallyLongRunIsForecastFromItsProgress(t *testing.T) {
	g := newHarness(t)
	g.order(1, "a")
	g.runs.StartAnswered(g.now, Key{"a", 1}, Accepted, "")
	g.takeLog()
	g.advance(60 * time.Millisecond)
	g.poll(listedOne("a", 2), nil)
	require.Empty(t, g.takeLog(), "2 percent is too little for a forecast")
	g.advance(60 * time.Millisecond)
	g.poll(listedOne("a", 11), nil)
	require.Equal(t, []string{"forecast e 1 880"}, g.takeLog())
	require.Greater(t, g.runs.State(g.now, "e").Pace, 1.0)
}

// refuseUntilLeaseEnds has all connections to the target refused until its lease has ended.
func (g *harness) refuseUntilLeaseEnds() {
	for end := g.now.Add(Lease + 40*time.Millisecond); g.now.Before(end); g.advance(20 * time.Millisecond) {
		g.runs.RecordEcho("e", g.now)
		g.runs.TargetDown(g.now)
		g.runs.ExtendLease(g.now)
		g.runs.Tick(g.now)
	}
}

// TestARefusedConnectionEndsNoRun guards against tasks that run twice: the path to a target refused connections for a time while the
// target went on, and its agent took the first refusal for the end of the target's process.
func TestARefusedConnectionEndsNoRun(t *testing.T) {
	g := newBusyHarness(t)
	g.runs.TargetDown(g.now)
	g.order(2, "b")
	require.Equal(t, []string{"ended e 2 refused"}, g.takeLog(), "nothing is started there meanwhile")
	g.advance(Lease - 20*time.Millisecond)
	g.runs.RecordEcho("e", g.now)
	g.runs.TargetDown(g.now)
	_, extended := g.runs.ExtendLease(g.now)
	require.False(t, extended)
	g.runs.Tick(g.now)
	require.Empty(t, g.takeLog())
	g.poll(nil, []Finish{{Key: Key{"a", 1}, Index: 1, How: "done"}})
	require.Equal(t, []string{"ended e 1 done"}, g.takeLog(), "it went on all the time")
	g.order(3, "b")
	require.Equal(t, []string{"start b/1"}, g.takeLog())
}

// After its lease nothing can run at a target that refuses connections; a start that it carries out later is fenced.
func TestRunsOfARefusingTargetEndWithTheLease(t *testing.T) {
	g := newBusyHarness(t)
	g.order(2, "b")
	g.runs.StartAnswered(g.now, Key{"b", 1}, Lost, "")
	g.takeLog()
	g.refuseUntilLeaseEnds()
	require.Equal(t, []string{"crashed a 0", "ended e 1 crashed", "ended e 2 lapsed"}, g.takeLog())
	require.Equal(t, 1, g.fences)
	require.False(t, g.runs.Clean())
	_, extended := g.runs.ExtendLease(g.now)
	require.False(t, extended)
	g.poll(listedOne("left", 3), nil)
	require.Equal(t, []string{"stop left/1"}, g.takeLog())
	g.poll(nil, nil)
	g.order(3, "b")
	require.Equal(t, []string{"start b/2"}, g.takeLog())
}

// Answers to polls that overlap may arrive in another order than the target gave them. Of an outdated one, a run listed as running
// may have ended and must not be stopped, and its progress is out of date; its ends count.
func TestOutdatedListOnlyReportsEnds(t *testing.T) {
	g := newHarness(t)
	for i, task := range []string{"a", "b"} {
		g.order(uint64(i+1), task)
		g.runs.StartAnswered(g.now, Key{task, 1}, Accepted, "")
	}
	g.advance(100 * time.Millisecond)
	g.takeLog()
	endA := Finish{Key: Key{"a", 1}, Index: 1, How: "done"}
	endB := Finish{Key: Key{"b", 1}, Index: 2, How: "done"}
	g.runs.Listed(g.now, &Listing{Sent: g.now, Clock: 300, Finished: []Finish{endA, endB}})
	require.Equal(t, []string{"ended e 1 done", "ended e 2 done"}, g.takeLog())
	g.runs.Listed(g.now, &Listing{Sent: g.now, Clock: 200, Running: listedOne("b", 90), Finished: []Finish{endA}})
	require.Empty(t, g.takeLog(), "an outdated list stops nothing")
	g.order(3, "c")
	g.runs.StartAnswered(g.now, Key{"c", 1}, Accepted, "")
	g.advance(time.Millisecond)
	g.takeLog()
	g.runs.Listed(g.now, &Listing{Sent: g.now, Clock: 250})
	require.Empty(t, g.takeLog(), "an outdated list doesn't show that a run is missing")
}

// An accepted start shows that the target answers, as an answered poll does: with most answers lost, a target would otherwise be
// unusable for some time in every second.
func TestAcceptedStartKeepsTheTargetUsable(t *testing.T) {
	g := newHarness(t)
	g.order(1, "a")
	g.advance(extendWithin - time.Millisecond)
	g.runs.StartAnswered(g.now, Key{"a", 1}, Accepted, "")
	g.advance(extendWithin - time.Millisecond)
	require.True(t, g.runs.State(g.now, "e").Usable)
	g.advance(2 * time.Millisecond)
	require.False(t, g.runs.State(g.now, "e").Usable)
}

// A task that hangs makes no progress, so its forecast run time grows and is reported again and again: its owner may move it when
// there is room elsewhere.
func TestHangingRunIsForecastAgain(t *testing.T) {
	g := newHarness(t)
	g.order(1, "a")
	g.runs.StartAnswered(g.now, Key{"a", 1}, Accepted, "")
	g.takeLog()
	forecasts := 0
	for range 20 {
		g.advance(progressPeriod)
		g.poll(listedOne("a", 10), nil)
		forecasts += len(g.takeLog())
	}
	require.Greater(t, forecasts, 10, "one in each progressPeriod")
}

// A crash is noticed some milliseconds after it happened, and orders that arrive in between have no part in it.
func TestACrashReportListsWhatRanWhenTheConnectionBroke(t *testing.T) {
	g := newHarness(t)
	g.order(1, "a")
	g.runs.StartAnswered(g.now, Key{"a", 1}, Accepted, "")
	g.advance(10 * time.Millisecond)
	g.runs.ConnectionBroken(g.now)
	g.advance(5 * time.Millisecond)
	g.order(2, "b")
	g.takeLog()
	g.refuseUntilLeaseEnds()
	require.Equal(t, []string{"crashed a 10", "ended e 1 crashed", "ended e 2 lapsed"}, g.takeLog())
	g.refuseUntilLeaseEnds()
	require.Empty(t, g.takeLog(), "a refused connection after the crash is no further crash")
}

// TestStartThatWasNotAnsweredIsNotBlamedForACrash guards against a sound job that is given up as one that crashes its targets: at two
// of the three crashes it was blamed for, its start was still to be carried out.
func TestStartThatWasNotAnsweredIsNotBlamedForACrash(t *testing.T) {
	g := newHarness(t)
	g.order(1, "a")
	g.runs.StartAnswered(g.now, Key{"a", 1}, Accepted, "")
	g.order(2, "b")
	g.order(3, "c")
	g.runs.StartAnswered(g.now, Key{"c", 1}, Lost, "")
	g.advance(10 * time.Millisecond)
	g.takeLog()
	g.refuseUntilLeaseEnds()
	require.Equal(t, []string{"crashed a 10", "ended e 1 crashed", "ended e 2 lapsed", "ended e 3 lapsed"}, g.takeLog())
}

// TestCrashOfAnIdleTargetIsReportedOnce guards against a task that is blamed for a crash of its rack, as nobody tells that targets which
// ran nothing crashed as well; nor is it told for each refused connection, or while a start may have begun.
func TestCrashOfAnIdleTargetIsReportedOnce(t *testing.T) {
	g := newHarness(t)
	g.runs.TargetDown(g.now)
	require.Equal(t, []string{"crashed idle"}, g.takeLog())
	g.runs.TargetDown(g.now)
	require.Empty(t, g.takeLog())
	g = newHarness(t)
	g.order(1, "a")
	g.runs.StartAnswered(g.now, Key{"a", 1}, Lost, "")
	g.takeLog()
	g.refuseUntilLeaseEnds()
	require.Equal(t, []string{"ended e 1 lapsed"}, g.takeLog())
}

// A start without an answer that a list shows has begun.
func TestStartThatWasListedIsBlamedForACrash(t *testing.T) {
	g := newHarness(t)
	g.order(1, "a")
	g.runs.StartAnswered(g.now, Key{"a", 1}, Lost, "")
	g.poll([]Progress{{Key: Key{"a", 1}}}, nil)
	g.advance(10 * time.Millisecond)
	g.takeLog()
	g.refuseUntilLeaseEnds()
	require.Equal(t, []string{"crashed a 10", "ended e 1 crashed"}, g.takeLog())
}

// TestAnAgentStaysEstablishedAfterACrash guards against an entry that starts while targets are down and doesn't learn of their
// crashes: agents connected to it only once their target was back.
func TestAnAgentStaysEstablishedAfterACrash(t *testing.T) {
	g := &harness{t: t, now: time.Unix(1000, 0)}
	g.runs = New(g)
	g.runs.Announced(g.now, newInstance("i-1", 5, 1))
	require.False(t, g.runs.Established(), "runs of an earlier process of the agent may be left")
	g.poll(nil, nil)
	require.True(t, g.runs.Established())
	g.runs.TargetDown(g.now)
	require.False(t, g.runs.Clean())
	require.True(t, g.runs.Established())
}

// TestAShrunkCapacityIsReportedAtOnce guards against starts that bring a target over a capacity which has shrunk while it runs.
func TestAShrunkCapacityIsReportedAtOnce(t *testing.T) {
	g := newHarness(t)
	g.order(1, "a")
	g.changes = 0
	shrunk := newInstance("i-1", 5, 2)
	shrunk.Millicores = need + need/2
	require.False(t, g.runs.Announced(g.now, shrunk))
	require.Equal(t, 1, g.changes)
	require.Equal(t, shrunk.Millicores, g.runs.State(g.now, "e").Millicores)
	g.takeLog()
	g.order(2, "b")
	g.advance(roomWait + time.Millisecond)
	g.runs.Tick(g.now)
	require.Equal(t, []string{"ended e 2 room"}, g.takeLog())
	g.runs.RecordEcho("e", g.now)
	g.runs.Announced(g.now, newInstance("i-1", 5, 3))
	g.order(3, "b")
	require.Equal(t, []string{"start b/1"}, g.takeLog(), "the capacity has grown again")
}

// An entry gathers orders for a moment, so a frame can hold the start of an attempt and the stop that followed when its caller left.
func TestAnAttemptStoppedInTheFrameOfItsStartDoesNotRun(t *testing.T) {
	g := newHarness(t)
	g.runs.Orders(g.now, "e", []*Order{{Attempt: 1, Task: "a", Number: 1, Millicores: need, MemoryMB: 1}}, []uint64{1})
	g.runs.StartAnswered(g.now, Key{"a", 1}, Accepted, "")
	g.advance(stopRetryPeriod)
	g.runs.RecordEcho("e", g.now)
	g.runs.Tick(g.now)
	if g.runs.Len() > 0 {
		require.Contains(t, g.takeLog(), "stop a/1")
		return
	}
	require.NotContains(t, g.takeLog(), "start a/1")
}

// A target may answer polls and leave stops unanswered. Polls extend the lease for all of its runs, also for one that should end.
func TestTheLeaseIsNotExtendedForARunThatShouldHaveEnded(t *testing.T) {
	g := newHarness(t)
	g.order(1, "a")
	g.runs.StartAnswered(g.now, Key{"a", 1}, Accepted, "")
	g.advance(Tenure + stopTime)
	g.runs.RecordEcho("f", g.now)
	g.runs.Tick(g.now)
	g.poll(listedOne("a", 50), nil)
	_, extended := g.runs.ExtendLease(g.now)
	require.True(t, extended, "the stop may still be confirmed")
	g.advance(time.Millisecond)
	g.takeLog()
	_, extended = g.runs.ExtendLease(g.now)
	require.False(t, extended)
	g.runs.Order(g.now, "f", &Order{Attempt: 1, Task: "b", Number: 1, Millicores: need, MemoryMB: 1})
	require.Equal(t, []string{"ended f 1 refused"}, g.takeLog(), "a start would extend the lease as well")
	g.runs.StopAnswered(g.now, Key{"a", 1}, Accepted)
	g.advance(time.Millisecond)
	g.poll(nil, nil)
	require.Zero(t, g.runs.Len())
	g.runs.Order(g.now, "f", &Order{Attempt: 2, Task: "b", Number: 1, Millicores: need, MemoryMB: 1})
	require.Equal(t, []string{"ended e 1 stopped", "start b/1"}, g.takeLog())
}

func TestTheLeaseIsNotExtendedForLongForARunThatItsOwnerStopped(t *testing.T) {
	g := newHarness(t)
	g.order(1, "a")
	g.runs.StartAnswered(g.now, Key{"a", 1}, Accepted, "")
	g.runs.Stop(g.now, "e", 1)
	g.advance(withdrawTime + time.Millisecond)
	g.runs.RecordEcho("e", g.now)
	g.poll(listedOne("a", 50), nil)
	_, extended := g.runs.ExtendLease(g.now)
	require.False(t, extended)
}

// An agent that was cut off or frozen for longer than Expiry may hold runs whose tasks its owner has started elsewhere.
func TestARunThatItsOwnerCountsAsEndedIsStoppedOnceTheyReconnect(t *testing.T) {
	g := newHarness(t)
	g.order(1, "a")
	g.order(2, "b")
	g.runs.StartAnswered(g.now, Key{"a", 1}, Accepted, "")
	g.runs.StartAnswered(g.now, Key{"b", 1}, Lost, "")
	g.takeLog()
	g.runs.RecordEcho("e", g.now)
	g.runs.Reconnected(g.now, "e", nil)
	require.Equal(t, []string{"stop a/1", "stop b/1"}, g.takeLog())
	_, extended := g.runs.ExtendLease(g.now)
	require.False(t, extended, "a start that takes effect late must find the lease ended")
}

// TestAnOrderWhoseNeedOverflowsIsRefused guards against a start on a full target: the sum of what is used and what the order needs
// overflowed to a small number.
func TestAnOrderWhoseNeedOverflowsIsRefused(t *testing.T) {
	for _, o := range []Order{
		{Millicores: math.MaxUint64 - need + 1, MemoryMB: 1}, {Millicores: 1, MemoryMB: math.MaxUint64}, {Millicores: math.MaxUint64},
	} {
		g := newHarness(t)
		g.order(1, "a")
		g.takeLog()
		o.Attempt, o.Task, o.Number = 2, "b", 1
		g.runs.Order(g.now, "e", &o)
		require.Equal(t, []string{"ended e 2 room"}, g.takeLog())
	}
}

// TestAPartialListDoesNotShowThatARunIsMissing guards against a second run of a task whose row couldn't be read.
func TestAPartialListDoesNotShowThatARunIsMissing(t *testing.T) {
	g := newHarness(t)
	g.order(1, "a")
	g.runs.StartAnswered(g.now, Key{"a", 1}, Accepted, "")
	g.advance(100 * time.Millisecond)
	g.takeLog()
	g.runs.Listed(g.now, &Listing{Sent: g.now, Partial: true})
	require.Empty(t, g.takeLog())
	g.runs.Listed(g.now, &Listing{Sent: g.now, Partial: true, Finished: []Finish{{Key: Key{"a", 1}, Index: 1, How: "done"}}})
	require.Equal(t, []string{"ended e 1 done"}, g.takeLog())
}

// TestAPartialListDoesNotShowThatTheTargetIsClean guards against starts beside a run of an earlier process of the agent.
func TestAPartialListDoesNotShowThatTheTargetIsClean(t *testing.T) {
	g := &harness{t: t, now: time.Unix(1000, 0)}
	g.runs = New(g)
	g.runs.Announced(g.now, newInstance("i-1", 5, 1))
	g.runs.Listed(g.now, &Listing{Sent: g.now, Partial: true})
	require.False(t, g.runs.Clean())
	g.poll(nil, nil)
	require.True(t, g.runs.Clean())
}

// The owner was cut off longer than its tenure; it had ended the job meanwhile, and repeats its stop as it connects again. An
// unanswered start may still take effect, so the lease must not be extended anew.
func TestAStopRepeatedAfterASilenceDoesNotExtendTheLeaseAgain(t *testing.T) {
	g := newHarness(t)
	g.order(1, "a")
	g.runs.StartAnswered(g.now, Key{"a", 1}, Lost, "")
	g.advance(Tenure + stopTime + time.Millisecond)
	g.runs.Tick(g.now)
	g.poll(nil, nil)
	_, extended := g.runs.ExtendLease(g.now)
	require.False(t, extended)
	g.advance(650 * time.Millisecond) // 1,251 ms after the last echo
	g.runs.Tick(g.now)
	g.poll(nil, nil)
	g.runs.RecordEcho("e", g.now)
	g.runs.Reconnected(g.now, "e", []uint64{1})
	g.runs.Stop(g.now, "e", 1)
	_, extended = g.runs.ExtendLease(g.now)
	require.False(t, extended, "a start that takes effect late runs until %v after the last echo", Tenure+stopTime+650*time.Millisecond+Lease+withdrawTime)
}

// The lease must have ended 1,300 ms after the caller left, which may be as early as the last echo before a broken connection.
func TestTheLeaseEndsBeforeCallersReturnIfTheStopIsRepeatedOnANewConnection(t *testing.T) {
	g := newHarness(t)
	g.order(1, "a")
	g.runs.StartAnswered(g.now, Key{"a", 1}, Accepted, "")
	began, end := g.now, time.Time{}
	for g.now.Sub(began) < 3*time.Second {
		g.advance(10 * time.Millisecond)
		if since := g.now.Sub(began); since == 470*time.Millisecond { // silent for 450 ms, connected again
			g.runs.RecordEcho("e", g.now)
			g.runs.Reconnected(g.now, "e", []uint64{1})
			g.runs.Stop(g.now, "e", 1)
		} else if since > 470*time.Millisecond {
			g.runs.RecordEcho("e", g.now)
		}
		g.runs.Tick(g.now)
		g.poll(listedOne("a", 50), nil)
		if until, ok := g.runs.ExtendLease(g.now); ok {
			end = until
		}
	}
	require.LessOrEqual(t, end.Sub(began), 1300*time.Millisecond)
}

// An end that was told stays told also for a waiting order that the owner counts as ended.
func TestAnAbandonedWaitingOrderFreesItsRoom(t *testing.T) {
	g := newFullHarness(t)
	g.order(90, "w")
	changes := g.changes
	g.runs.Reconnected(g.now, "e", []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
	require.Greater(t, g.changes, changes, "the used amounts have changed")
}
