package runs

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// rig steps a table and records what it does.
type rig struct {
	t     *testing.T
	runs  *Runs
	now   time.Time
	log   []string
	until time.Time
}

func (g *rig) Start(k Key, _ *Order, until time.Time) {
	g.until = until
	g.log = append(g.log, fmt.Sprintf("start %s/%d", k.Task, k.Number))
}
func (g *rig) Stop(k Key) { g.log = append(g.log, fmt.Sprintf("stop %s/%d", k.Task, k.Number)) }
func (g *rig) Ended(owner string, attempt uint64, how string, _ uint32) {
	g.log = append(g.log, fmt.Sprintf("ended %s %d %s", owner, attempt, how))
}

func (g *rig) Forecast(owner string, attempt uint64, left time.Duration) {
	g.log = append(g.log, fmt.Sprintf("forecast %s %d %d", owner, attempt, left.Milliseconds()))
}
func (g *rig) Changed()                                   {}
func (g *rig) Closed(Key, string, uint64, string, uint32) {}

const (
	capacity = 64_000
	need     = 6_000
)

func life(id string, born, seq int64) *Instance {
	return &Instance{ID: id, Addr: "10.0.0.1:80", Born: born, Service: "s", Millicores: capacity, MemoryMB: 1000, Sequence: seq}
}

// ready returns a rig whose target is known to be empty and whose owner "e" has answered just now.
func ready(t *testing.T) *rig {
	g := &rig{t: t, now: time.Unix(1000, 0)}
	g.runs = New(g)
	require.True(t, g.runs.Announced(g.now, life("i-1", 5, 1)))
	g.look(nil, nil)
	require.True(t, g.runs.Clean())
	g.runs.RecordEcho("e", g.now)
	return g
}

func (g *rig) look(running []Progress, finished []Finish) {
	g.runs.Listed(g.now, &Listing{Sent: g.now.Add(-time.Microsecond), Running: running, Finished: finished})
}

func (g *rig) order(attempt uint64, task string) {
	g.runs.Order(g.now, "e", &Order{Attempt: attempt, Task: task, Number: 1, Millicores: need, MemoryMB: 1, Expected: 100 * time.Millisecond})
}

func (g *rig) pass(d time.Duration) { g.now = g.now.Add(d) }

// took returns what was done since the last call.
func (g *rig) took() []string {
	out := g.log
	g.log = nil
	return out
}

func one(task string, percent int) []Progress {
	return []Progress{{Key: Key{task, 1}, Percent: percent}}
}

func TestARunEndsOnceWithTheWordOfTheTarget(t *testing.T) {
	g := ready(t)
	g.order(1, "a")
	g.runs.StartAnswered(g.now, Key{"a", 1}, Accepted, "")
	require.Equal(t, []string{"start a/1"}, g.took())
	g.pass(50 * time.Millisecond)
	g.look(one("a", 50), nil)
	g.pass(50 * time.Millisecond)
	end := []Finish{{Key: Key{"a", 1}, Index: 1, How: "done"}}
	g.look(nil, end)
	g.look(nil, end)
	require.Equal(t, []string{"ended e 1 done"}, g.took())
	require.Equal(t, int64(1), g.runs.Ack())
	require.Zero(t, g.runs.Len())
}

// full returns a rig whose target has no room left; the tasks are t0, t1 and so on.
func full(t *testing.T) *rig {
	g := ready(t)
	for i := range uint64(capacity / need) {
		g.order(i+1, fmt.Sprint("t", i))
		g.runs.StartAnswered(g.now, Key{fmt.Sprint("t", i), 1}, Accepted, "")
	}
	g.took()
	return g
}

func TestFewOrdersWaitForRoomAndTheOthersAreRefusedAtOnce(t *testing.T) {
	g := full(t)
	for i := range uint64(maxWaiting) {
		g.order(90+i, fmt.Sprint("w", i))
	}
	require.Empty(t, g.took())
	require.Greater(t, g.runs.State(g.now, "f").UsedMillicores, uint64(capacity), "other entries send no more")
	g.order(99, "more")
	require.Equal(t, []string{"ended e 99 room"}, g.took())
	g.runs.Order(g.now, "e", &Order{Attempt: 100, Task: "huge", Number: 1, Millicores: capacity + 1})
	require.Equal(t, []string{"ended e 100 room"}, g.took())
	g.look(nil, []Finish{{Key: Key{"t0", 1}, Index: 1, How: "done"}})
	require.Equal(t, []string{"ended e 1 done", "start w0/1"}, g.took())
	g.order(101, "late")
	require.Empty(t, g.took())
	g.pass(roomWait)
	g.runs.RecordEcho("e", g.now)
	g.runs.Tick(g.now)
	require.Equal(t, []string{"ended e 101 room"}, g.took())
}

func TestAnOrderThatWaitsIsWithdrawnLikeARun(t *testing.T) {
	g := full(t)
	g.order(90, "w")
	g.order(90, "w")
	g.runs.ResendEnds("e", []uint64{90})
	require.Empty(t, g.took(), "it waits still")
	g.runs.Stop(g.now, "e", 90)
	require.Equal(t, []string{"ended e 90 stopped"}, g.took())
	g.order(91, "w")
	g.runs.Leave(g.now)
	require.Equal(t, []string{"ended e 91 refused"}, g.took())
}

func TestNothingThatWaitsStartsForASilentOwnerOrBesideItsEarlierRun(t *testing.T) {
	g := full(t)
	g.look(nil, []Finish{{Key: Key{"t0", 1}, Index: 1, How: "done"}})
	g.runs.RecordEcho("f", g.now)
	g.runs.Order(g.now, "f", &Order{Attempt: 1, Task: "w", Number: 1, Millicores: 2 * need, MemoryMB: 1, Expected: time.Second})
	require.Equal(t, []string{"ended e 1 done"}, g.took(), "it waits, as it needs more than is free")
	g.order(90, "w")
	require.Equal(t, []string{"start w/1"}, g.took(), "the task's earlier attempt starts meanwhile")
	g.look(nil, []Finish{{Key: Key{"t1", 1}, Index: 2, How: "done"}, {Key: Key{"t2", 1}, Index: 3, How: "done"}})
	require.Equal(t, []string{"ended e 2 done", "ended f 1 refused", "ended e 3 done"}, g.took())

	g = full(t)
	g.order(90, "w")
	g.pass(Tenure + time.Millisecond)
	g.look(nil, []Finish{{Key: Key{"t0", 1}, Index: 1, How: "done"}})
	require.Equal(t, []string{"ended e 1 done", "ended e 90 refused"}, g.took()[:2])
}

func TestATaskIsNotStartedBesideItsEarlierRun(t *testing.T) {
	g := ready(t)
	g.order(1, "a")
	g.runs.RecordEcho("f", g.now)
	g.runs.Order(g.now, "f", &Order{Attempt: 1, Task: "a", Number: 1, Millicores: need, Expected: time.Second})
	require.Equal(t, []string{"start a/1", "ended f 1 refused"}, g.took())
}

func TestAStartThatWasNeverAnsweredIsBarredBeforeItCountsAsOver(t *testing.T) {
	g := ready(t)
	g.order(1, "a")
	g.runs.StartAnswered(g.now, Key{"a", 1}, Lost, "timeout")
	g.pass(10 * time.Millisecond)
	g.look(nil, nil)
	require.Equal(t, []string{"start a/1", "stop a/1"}, g.took(), "not told as ended: it may still be carried out")
	g.pass(time.Millisecond)
	g.runs.StopAnswered(g.now, Key{"a", 1}, Accepted)
	g.pass(time.Millisecond)
	g.look(nil, nil)
	require.Equal(t, []string{"ended e 1 stopped"}, g.took())
}

func TestALookFromBeforeTheStopProvesNothing(t *testing.T) {
	g := ready(t)
	g.order(1, "a")
	g.runs.StartAnswered(g.now, Key{"a", 1}, Accepted, "")
	g.runs.Stop(g.now, "e", 1)
	sent := g.now
	g.pass(time.Millisecond)
	g.runs.StopAnswered(g.now, Key{"a", 1}, Accepted)
	g.runs.Listed(g.now, &Listing{Sent: sent})
	require.Equal(t, []string{"start a/1", "stop a/1"}, g.took())
	require.Equal(t, 1, g.runs.Len())
}

func TestAStartWhoseAnswerWasLostGoesOnWhereTheTargetListsIt(t *testing.T) {
	g := ready(t)
	g.order(1, "a")
	g.runs.StartAnswered(g.now, Key{"a", 1}, Lost, "timeout")
	g.pass(10 * time.Millisecond)
	g.look(one("a", 10), nil)
	g.pass(90 * time.Millisecond)
	g.look(nil, []Finish{{Key: Key{"a", 1}, Index: 1, How: "done"}})
	require.Equal(t, []string{"start a/1", "ended e 1 done"}, g.took())
}

func TestRunsOfASilentOwnerAreStoppedWithinTheTenure(t *testing.T) {
	g := ready(t)
	g.order(1, "a")
	g.runs.StartAnswered(g.now, Key{"a", 1}, Accepted, "")
	g.took()
	for range 30 {
		g.pass(20 * time.Millisecond)
		g.runs.Tick(g.now)
		g.look(one("a", 1), nil)
	}
	require.Contains(t, g.took(), "stop a/1")
	g.order(2, "b")
	require.Equal(t, []string{"ended e 2 refused"}, g.took(), "an order of an owner that was silent")
	g.runs.RecordEcho("e", g.now)
	g.order(3, "b")
	require.Equal(t, []string{"start b/1"}, g.took())
}

func TestAnOldEchoDoesNotDrawOutTheTenure(t *testing.T) {
	g := ready(t)
	g.pass(Tenure + time.Millisecond)
	g.runs.RecordEcho("e", g.now.Add(-Tenure-time.Millisecond))
	g.order(1, "a")
	require.Equal(t, []string{"ended e 1 refused"}, g.took())
}

func TestTheLeaseOfASilentTargetIsNotDrawnOut(t *testing.T) {
	g := ready(t)
	g.order(1, "a")
	g.runs.StartAnswered(g.now, Key{"a", 1}, Accepted, "")
	until, ok := g.runs.ExtendLease(g.now)
	require.True(t, ok)
	require.Equal(t, g.now.Add(Lease), until)
	g.took()
	g.pass(extendWithin + time.Millisecond)
	_, ok = g.runs.ExtendLease(g.now)
	require.False(t, ok)
	g.runs.RecordEcho("e", g.now)
	g.pass(Lease - extendWithin + 20*time.Millisecond)
	g.runs.Tick(g.now)
	require.Equal(t, []string{"ended e 1 lapsed"}, g.took())
}

func TestANewLifeOfTheTargetEndsAllRunsAndWaitsForAnEmptyList(t *testing.T) {
	g := ready(t)
	g.order(1, "a")
	g.runs.StartAnswered(g.now, Key{"a", 1}, Accepted, "")
	g.took()
	require.True(t, g.runs.Announced(g.now, life("i-1", 9, 1)), "the same id, born later")
	require.Equal(t, []string{"ended e 1 lapsed"}, g.took())
	g.order(2, "b")
	require.Equal(t, []string{"ended e 2 refused"}, g.took())
	g.look(one("left", 3), nil)
	require.Equal(t, []string{"stop left/1"}, g.took())
	require.False(t, g.runs.Clean())
	g.look(nil, nil)
	require.True(t, g.runs.Clean())
}

func TestALateHeartbeatOfAnEarlierLifeChangesNothing(t *testing.T) {
	g := ready(t)
	require.False(t, g.runs.Announced(g.now, life("i-0", 3, 9)))
	require.Equal(t, "i-1", g.runs.Instance().ID)
	draining := life("i-1", 5, 4)
	draining.Draining = true
	g.runs.Announced(g.now, draining)
	g.runs.Announced(g.now, life("i-1", 5, 2))
	require.True(t, g.runs.Instance().Draining, "a heartbeat that was overtaken")
}

func TestADrainingTargetGetsNothingNew(t *testing.T) {
	g := ready(t)
	draining := life("i-1", 5, 2)
	draining.Draining = true
	g.runs.Announced(g.now, draining)
	g.order(1, "a")
	require.Equal(t, []string{"ended e 1 refused"}, g.took())
}

func TestAnOwnerThatConnectsAgainLearnsTheEndsItMissed(t *testing.T) {
	g := ready(t)
	g.order(1, "a")
	g.order(2, "b")
	g.runs.StartAnswered(g.now, Key{"a", 1}, Accepted, "")
	g.runs.StartAnswered(g.now, Key{"b", 1}, Accepted, "")
	g.pass(time.Millisecond)
	g.look([]Progress{{Key: Key{"b", 1}}}, []Finish{{Key: Key{"a", 1}, Index: 1, How: "failed"}})
	g.took()
	g.runs.ResendEnds("e", []uint64{1, 2, 3})
	require.Equal(t, []string{"ended e 1 failed", "ended e 3 unknown"}, g.took(), "2 runs on; 3 never arrived")
}

func TestANumberRisesForATaskThatComesAgain(t *testing.T) {
	g := ready(t)
	g.order(1, "a")
	g.runs.StartAnswered(g.now, Key{"a", 1}, Rejected, "late")
	g.order(2, "a")
	require.Equal(t, []string{"start a/1", "ended e 1 late", "start a/2"}, g.took())
}

func TestAnUnusuallyLongRunIsForetoldByItsProgress(t *testing.T) {
	g := ready(t)
	g.order(1, "a")
	g.runs.StartAnswered(g.now, Key{"a", 1}, Accepted, "")
	g.took()
	g.pass(60 * time.Millisecond)
	g.look(one("a", 2), nil)
	require.Empty(t, g.took(), "2 percent tell nothing yet")
	g.pass(60 * time.Millisecond)
	g.look(one("a", 11), nil)
	require.Equal(t, []string{"forecast e 1 880"}, g.took())
	require.Greater(t, g.runs.State(g.now, "e").Pace, 1.0)
}

func TestATargetWhosePortIsClosedRunsNothing(t *testing.T) {
	g := ready(t)
	g.order(1, "a")
	g.runs.StartAnswered(g.now, Key{"a", 1}, Accepted, "")
	g.took()
	g.runs.TargetDown(g.now)
	require.Equal(t, []string{"ended e 1 lapsed"}, g.took())
	g.order(2, "b")
	require.Equal(t, []string{"ended e 2 refused"}, g.took())
	g.look(nil, nil)
	g.order(3, "b")
	require.Equal(t, []string{"start b/1"}, g.took())
}
