package schedd

import (
	"math"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"persimmonstage/core/newest"
	"persimmonstage/io/wire"
)

// TestAnOddAddressOfAnEntryIsNotPassedOn guards against a list of entries that makes every agent dial a name or an impossible port.
func TestAnOddAddressOfAnEntryIsNotPassedOn(t *testing.T) {
	d := New(Config{Name: "e", Address: "10.0.0.9:80"}, &newest.Newest{}, zap.NewNop(), prometheus.NewRegistry())
	d.opened(1)
	for _, a := range []string{"10.0.0.1:80", "", "e.example:80", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.2:80"} {
		d.received(1, &wire.Frame{Body: &wire.Frame_EntryHello{EntryHello: &wire.EntryHello{Address: a}}})
	}
	require.Len(t, d.entries, 2)
}

// TestAnAbsurdReportOfAnAgentDoesNotOverflow guards against a full target that counts as free, and against the end of the process.
func TestAnAbsurdReportOfAnAgentDoesNotOverflow(t *testing.T) {
	for _, n := range []uint64{0, 1 << 63, math.MaxUint64} {
		s := (&link{}).targetState(&wire.TargetState{
			Millicores: n, MemoryMb: n, UsedMillicores: n, UsedMemoryMb: n, PacePermille: math.MaxUint32, Seen: n,
		})
		require.LessOrEqual(t, s.UsedMillicores+s.Millicores, uint64(1<<41))
		require.LessOrEqual(t, s.UsedMemoryMB+s.MemoryMB, uint64(1<<41))
		require.GreaterOrEqual(t, s.UsedMillicores, s.Millicores)
	}
	d := New(Config{Name: "e", Address: "10.0.0.9:80"}, &newest.Newest{}, zap.NewNop(), prometheus.NewRegistry())
	d.opened(1)
	agent := &wire.Ident{Name: "a", Incarnation: []byte{0xff, 0}}
	state := &wire.TargetState{Brief: true, Seen: math.MaxUint64, Usable: true}
	for _, f := range []*wire.Frame{
		{},
		{Body: &wire.Frame_TargetHello{TargetHello: &wire.TargetHello{Version: wire.Version, Agent: agent}}},
		{Body: &wire.Frame_TargetHello{TargetHello: &wire.TargetHello{
			Version: wire.Version, Agent: agent, State: state, Stamp: math.MinInt64, DocumentVersion: math.MaxInt64,
		}}},
		{Body: &wire.Frame_TargetBeat{TargetBeat: &wire.TargetBeat{State: state, Stamp: math.MaxInt64}}},
		{Body: &wire.Frame_RunReport{RunReport: &wire.RunReport{
			State: state, Ends: []*wire.RunEnd{{Attempt: math.MaxUint64, How: "\xff", RanMs: math.MaxUint32}},
			Forecasts: []*wire.RunForecast{{Attempt: math.MaxUint64, LeftMs: math.MaxUint32}},
		}}},
		{Body: &wire.Frame_TargetCrash{TargetCrash: &wire.TargetCrash{
			Stamp: math.MinInt64, AgeMs: math.MaxUint32, Tasks: []*wire.CrashedTask{{Task: "", RanMs: math.MaxUint32}},
		}}},
	} {
		require.NotPanics(t, func() { d.received(1, f) })
	}
}

// After a freeze of the entry, the hellos of an agent's earlier process and of its present one are read in any order.
func TestAnOlderHelloDoesNotReplaceTheConnectionOfANewerProcess(t *testing.T) {
	d := New(Config{Name: "e", Address: "127.0.0.1:0"}, &newest.Newest{}, zap.NewNop(), prometheus.NewRegistry())
	hello := func(conn uint64, inc string, stamp int64) {
		d.opened(conn)
		d.received(conn, &wire.Frame{Body: &wire.Frame_TargetHello{TargetHello: &wire.TargetHello{
			Version: wire.Version, Agent: &wire.Ident{Name: "a", Incarnation: []byte(inc)}, Stamp: stamp, TenureMs: 500,
			State: &wire.TargetState{Service: "s", Millicores: 1000, Usable: true},
		}}})
	}
	hello(2, "new", 2_000)
	hello(1, "old", 1_000)
	require.Equal(t, uint64(2), d.byName["a"].conn)
}
