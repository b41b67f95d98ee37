package runsd

import (
	"context"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/runs"
	"persimmonstage/io/uptime"
	"persimmonstage/io/wire"
)

// TestAnOddAddressAmongTheEntriesIsNotDialled guards against connections to names and impossible ports that an entry passes on.
func TestAnOddAddressAmongTheEntriesIsNotDialled(t *testing.T) {
	d := newTestDaemon(&refusingTarget{})
	d.heartbeatAnswered(&link{}, &wire.TargetBeatAnswer{
		Stamp: 1, Entries: []string{"10.0.0.1:80", "", "e.example:80", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.2:80"},
	})
	require.Len(t, d.links, 2)
}

// TestAbsurdFramesOfAnEntryDoNotEndTheAgent guards against an agent that one odd frame ends.
func TestAbsurdFramesOfAnEntryDoNotEndTheAgent(t *testing.T) {
	d := newTestDaemon(&refusingTarget{})
	d.conns[1] = &link{addr: "10.0.0.1:80", conn: 1}
	for _, f := range []*wire.Frame{
		{},
		{Body: &wire.Frame_TargetHelloAnswer{TargetHelloAnswer: &wire.TargetHelloAnswer{Stamp: math.MinInt64, Open: []uint64{math.MaxUint64}}}},
		{Body: &wire.Frame_TargetBeatAnswer{TargetBeatAnswer: &wire.TargetBeatAnswer{Stamp: math.MaxInt64, DocumentVersion: math.MinInt64}}},
		{Body: &wire.Frame_RunOrders{RunOrders: &wire.RunOrders{
			Starts: []*wire.RunStart{{
				Attempt: math.MaxUint64, Number: math.MaxUint32, Millicores: math.MaxUint64, MemoryMb: math.MaxUint64, ExpectedMs: math.MaxUint32,
			}},
			Stops: []uint64{0, math.MaxUint64},
		}}},
	} {
		require.NotPanics(t, func() { d.received(1, f) })
	}
}

// TestAnEchoThatIsStillToComeIsIgnored guards against runs that continue at the target after their entry has ended.
func TestAnEchoThatIsStillToComeIsIgnored(t *testing.T) {
	for _, stamp := range []int64{math.MaxInt64, uptime.Now().Add(time.Hour).UnixNano()} {
		target := &refusingTarget{}
		d := newTestDaemon(target)
		d.ctx = t.Context()
		now := uptime.Now()
		d.runs.Announced(now, &runs.Instance{ID: "i", Addr: "10.0.0.1:80", Millicores: 1000, MemoryMB: 1})
		d.runs.Listed(now, &runs.Listing{Sent: now})
		d.heartbeatAnswered(&link{owner: "e"}, &wire.TargetBeatAnswer{Stamp: stamp})
		d.runs.Order(now, "e", &runs.Order{Attempt: 1, Task: "t", Number: 1})
		require.Zero(t, d.runs.Len(), "the entry has returned no heartbeat")
	}
}

// TestAnAgentConnectsToItsSubsetOnceItsTargetIsKnown guards against connections of each agent to all entries at the start of a fleet:
// the entries that it had chosen counted as unreachable by the time that its target had announced itself, as all others in turn.
func TestAnAgentConnectsToItsSubsetOnceItsTargetIsKnown(t *testing.T) {
	const entries, subsetSize = 55, 12
	d := newTestDaemon(&refusingTarget{})
	ctx, stop := context.WithCancel(t.Context())
	stop()
	d.ctx = ctx
	var addrs []string
	for i := range entries {
		addrs = append(addrs, fmt.Sprintf("10.0.0.%d:80", i+1))
	}
	d.addLinks(addrs)
	now := uptime.Now()
	end := now.Add(2 * time.Second)
	for ; now.Before(end); now = now.Add(tickPeriod) {
		d.step(now)
	}
	d.runs.Announced(now, &runs.Instance{ID: "i", Addr: "10.0.0.1:80", Born: 1, Millicores: 1000, MemoryMB: 1})
	d.runs.Listed(now, &runs.Listing{Born: 1, Sent: now})
	d.step(now)
	dialing := 0
	for _, l := range d.links {
		if l.dialing {
			dialing++
		}
	}
	require.Equal(t, subsetSize, dialing)
}

// TestHeartbeatsToAllEntriesAreSentTogether guards against a wake-up for each of them and for each answer.
func TestHeartbeatsToAllEntriesAreSentTogether(t *testing.T) {
	d := newTestDaemon(&refusingTarget{})
	start := uptime.Now()
	links := []*link{{owner: "e"}, {owner: "f"}, {owner: "g"}}
	for i, l := range links {
		d.sendHeartbeat(start.Add(time.Duration(i)*idleHeartbeatPeriod/4), l)
	}
	last := start
	for _, l := range links {
		d.sendHeartbeat(l.nextHeartbeat, l)
		require.LessOrEqual(t, l.nextHeartbeat.Sub(start), 3*idleHeartbeatPeriod)
		if l.nextHeartbeat.After(last) {
			last = l.nextHeartbeat
		}
	}
	for _, l := range links {
		for l.nextHeartbeat.Before(last) {
			before := l.nextHeartbeat
			d.sendHeartbeat(before, l)
			require.Equal(t, idleHeartbeatPeriod, l.nextHeartbeat.Sub(before))
		}
		require.Equal(t, last, l.nextHeartbeat)
	}
}
