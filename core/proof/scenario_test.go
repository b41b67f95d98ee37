package proof

import (
	"testing"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/group"
	"persimmonstage/core/recov"
)

// newSettledWorld returns a world whose entries are all members and whose shards are all recovered.
func newSettledWorld(t require.TestingT, f flaw, shards, entries, agents, jobs int) *world {
	w := newWorld(f, coarse, shards, entries, agents, jobs)
	for range 12 {
		w.advance()
	}
	m := w.entries[0].g.Map()
	require.NotNil(t, m)
	require.Equal(t, entries, m.Size())
	for _, e := range w.entries {
		require.Equal(t, "member", e.g.State())
		require.Equal(t, m.Version(), e.g.Version())
		for _, gain := range e.g.Gains() {
			require.True(t, e.recoveries[gain.Shard].Served(), "shard %d", gain.Shard)
			require.Equal(t, f != noGrace, e.g.Holds(w.now, gain.Shard))
		}
	}
	return w
}

func (w *world) ownerOf(shard int) *entry {
	for _, e := range w.entries {
		if _, ok := e.owned[shard]; ok && w.running(e) {
			return e
		}
	}
	return nil
}

func (w *world) run(n int) {
	for range n {
		w.advance()
		w.check()
	}
}

func TestEntriesJoinAndShareTheShards(t *testing.T) {
	for n := 1; n <= 3; n++ {
		w := newSettledWorld(t, sound, 2, n, 2, 0)
		require.Empty(t, w.errs)
		require.LessOrEqual(t, len(w.log), 2*n+2)
	}
}

func TestDeadEntryIsReplaced(t *testing.T) {
	w := newSettledWorld(t, sound, 2, 3, 2, 1)
	dead := w.ownerOf(0)
	w.submit(0, dead)
	w.send(0, dead, w.agents[0])
	w.deliver(0, false)
	require.Equal(t, 1, w.jobs[0].starts)
	dead.up = false
	w.run(10)
	next := w.ownerOf(0)
	require.NotNil(t, next)
	require.Equal(t, 2, next.g.Map().Size())
	require.True(t, next.recoveries[0].Served())
	out := next.recoveries[0].Lookup(w.now, team, "0", w.jobs[0].issued)
	require.Equal(t, recov.Found, out.Verdict)
	require.True(t, out.Complete)
	require.Equal(t, recov.NeverStarted, next.recoveries[0].Lookup(w.now, team, "1", w.jobs[0].issued).Verdict)
	require.Empty(t, w.errs)
}

func TestSilentAgentLeavesOlderJobsUnknown(t *testing.T) {
	w := newSettledWorld(t, sound, 2, 3, 2, 0)
	before := w.now
	w.ownerOf(0).up = false
	w.bootAgent(w.agents[0])
	w.run(12)
	r := w.ownerOf(0).recoveries[0]
	require.False(t, r.Served())
	require.Equal(t, recov.Unknown, r.Lookup(w.now, team, "1", before).Verdict)
	require.Equal(t, recov.NeverStarted, r.Lookup(w.now, team, "1", w.now).Verdict)
}

func TestRestartInPlaceNeedsNoSuspectTimeout(t *testing.T) {
	for n := 1; n <= 3; n++ {
		w := newSettledWorld(t, sound, 2, n, 2, 0)
		e := w.ownerOf(0)
		before := w.now
		w.boot(e)
		w.run(8)
		require.Equal(t, "member", e.g.State())
		require.Contains(t, e.g.Map().Ended(), w.entries[e.node].g.Map().Unsealed()[0].Members[e.node].Ident())
		r := e.recoveries[0]
		require.True(t, r.Fenced())
		want := recov.NeverStarted
		if n == 1 {
			want = recov.Unknown // the list of agents is lost with the only entry
			w.run(2)
		}
		require.Equal(t, want, r.Lookup(w.now, team, "1", before).Verdict, "%d entries", n)
		require.Equal(t, recov.NeverStarted, r.Lookup(w.now, team, "1", w.now).Verdict)
	}
}

func TestMajorityLostWaitsForTheOperator(t *testing.T) {
	w := newSettledWorld(t, sound, 2, 3, 1, 0)
	w.entries[1].up, w.entries[2].up = false, false
	records := len(w.log)
	w.run(10)
	require.Len(t, w.log, records, "no map is proposed that can't be sealed")
	a := w.entries[0]
	require.True(t, a.g.Retire("b"))
	require.False(t, a.g.Retire("nobody"))
	w.run(8)
	require.Equal(t, 1, a.g.Map().Size())
	require.Len(t, a.g.Gains(), 2)
	for _, gain := range a.g.Gains() {
		require.True(t, a.recoveries[gain.Shard].Fenced())
	}
}

func TestLeaveReleasesShards(t *testing.T) {
	w := newSettledWorld(t, sound, 2, 3, 2, 1)
	e := w.ownerOf(0)
	before := w.now
	e.g.Leave()
	w.run(2)
	require.True(t, e.g.Left())
	w.run(1)
	next := w.ownerOf(0)
	require.NotNil(t, next)
	require.NotEqual(t, e, next)
	require.Equal(t, recov.NeverStarted, next.recoveries[0].Lookup(w.now, team, "1", before).Verdict, "the grace isn't awaited")
	lone := newSettledWorld(t, sound, 2, 1, 1, 0)
	lone.entries[0].g.Leave()
	lone.run(1)
	require.True(t, lone.entries[0].g.Left())
}

func TestOneWayCutToOneMemberRemovesNobody(t *testing.T) {
	w := newSettledWorld(t, sound, 2, 3, 1, 0)
	w.cuts[[2]int{0, 1}] = true
	version := w.entries[0].g.Version()
	w.run(12)
	require.Equal(t, version, w.entries[2].g.Version())
}

func TestLostAppendAnswer(t *testing.T) {
	for _, how := range []string{"effect", "nothing"} {
		w := newSettledWorld(t, sound, 2, 3, 1, 0)
		w.entries[2].up = false
		w.entries[0].appendFault = how
		records := len(w.log)
		w.run(8)
		require.Len(t, w.log, records+1, how)
		require.Equal(t, 2, w.entries[0].g.Map().Size())
		require.Equal(t, "idle", w.entries[0].g.Proposal())
	}
}

func TestRejectedRecordsChangeNothing(t *testing.T) {
	w := newSettledWorld(t, sound, 2, 3, 1, 0)
	w.log = append(w.log, w.log[0], w.log[1], []byte("garbage"))
	version := w.entries[0].g.Version()
	for _, e := range w.entries {
		require.Error(t, e.g.ReadRecord(w.now, 99, []byte("garbage")))
		require.NoError(t, e.g.ReadRecord(w.now, 100, w.log[1]))
		require.Equal(t, version, e.g.Version())
	}
}

func TestDelayedHeartbeatOfAnEarlierIncarnationEndsNoMember(t *testing.T) {
	w := newSettledWorld(t, sound, 2, 3, 1, 0)
	c := w.entries[2]
	old := group.Heartbeat{From: c.self(), Stamp: w.now, Echo: w.now, Version: c.g.Version()}
	w.boot(c)
	w.run(4)
	a := w.entries[0]
	a.g.HandleHeartbeat(w.now, old)
	version := a.g.Version()
	c.frozen = true
	w.entries[1].up = false
	w.run(8)
	require.Equal(t, version, a.g.Version(), "one of three can't seal a map: the frozen member isn't taken as ended")
}

func TestLogOutageKeepsOwners(t *testing.T) {
	w := newSettledWorld(t, sound, 2, 3, 2, 0)
	for i := range 3 {
		w.cuts[[2]int{i, logNode}] = true
	}
	w.run(10)
	for _, e := range w.entries {
		for shard := range e.owned {
			require.True(t, e.g.Holds(w.now, shard))
		}
	}
	w.ownerOf(0).up = false
	w.run(6)
	require.Nil(t, w.ownerOf(0), "no entry takes over while the log is down")
	w.cuts = map[[2]int]bool{}
	w.run(8)
	require.NotNil(t, w.ownerOf(0))
	require.Empty(t, w.errs)
}

func TestRostersOfAnEarlierMapDoNotCount(t *testing.T) {
	w := newSettledWorld(t, sound, 2, 3, 1, 0)
	old := w.entries[1].g.Roster()
	w.entries[0].up = false
	w.cuts[[2]int{1, 2}] = true
	w.run(10)
	c := w.entries[2].g
	_, complete := c.Agents(c.Version())
	require.False(t, complete)
	c.HandleRoster(w.now, old)
	_, complete = c.Agents(c.Version())
	require.False(t, complete)
}

func TestLogWithoutItsBeginning(t *testing.T) {
	w := newSettledWorld(t, sound, 2, 3, 1, 0)
	w.dropped = len(w.log)
	w.log = append(w.log, w.log[1]) // rejected, and now the first record that is left
	w.entries[2].up = false
	w.run(10)
	require.Greater(t, len(w.log), w.dropped+1)
	e := w.entries[2]
	w.boot(e)
	require.NoError(t, e.g.ReadRecord(w.now, int64(w.dropped+1), w.log[w.dropped]))
	require.Zero(t, e.g.Version(), "no map is adopted before the end of the log")
	w.boot(e)
	w.run(10)
	require.Equal(t, "member", e.g.State())
	require.Equal(t, w.entries[0].g.Version(), e.g.Version())
	require.Equal(t, 3, e.g.Map().Size())
}

func TestStatus(t *testing.T) {
	w := newSettledWorld(t, sound, 4, 3, 2, 0)
	w.entries[1].up = false
	w.boot(w.entries[1])
	w.run(1)
	s := w.entries[0].g.Status(w.now)
	require.Equal(t, "member", s.State)
	require.Len(t, s.Members, 3)
	require.Equal(t, 2, s.Agents)
	require.Len(t, s.Owned, s.Held)
}

func TestHeartbeatToAnEarlierIncarnationIsIgnored(t *testing.T) {
	w := newSettledWorld(t, sound, 2, 3, 1, 0)
	a, b := w.entries[0], w.entries[1]
	meant := group.Heartbeat{From: b.self(), To: a.self().Ident(), Stamp: w.now, Echo: w.now, Version: b.g.Version() + 1}
	require.True(t, a.g.HandleHeartbeat(w.now, meant))
	w.boot(a)
	require.False(t, a.g.HandleHeartbeat(w.now, meant), "the echoed stamp is of another process")
}
