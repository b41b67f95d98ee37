package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/batch"
	"persimmonstage/core/jobend"
	"persimmonstage/core/pairs"
)

// TestWhereTellsWhatThenHappens compares the explanation of 600 jobs with what becomes of them when they are submitted next, at loads from
// idle to full: which ones are refused or wait, how many tasks start, and that each goes to a target that was a candidate.
func TestWhereTellsWhatThenHappens(t *testing.T) {
	decisions := map[string]int{}
	for seed := range uint64(6) {
		rng := rand.New(rand.NewPCG(seed, 3))
		h := newHarness()
		h.sched.KeepApart(func(pairs.Change) {})
		for i := range 4 {
			st := TargetState{Service: "s", Millicores: 16_000, MemoryMB: 100, Usable: i != 3 || rng.IntN(2) == 0, Pace: 0.5 + 2*rng.Float64()}
			h.sched.Join(h.now, fmt.Sprint("t", i), "i", "z", st)
		}
		for n := range 100 {
			h.run(time.Duration(rng.IntN(30)) * time.Millisecond)
			b := h.batch(fmt.Sprint("j", n), 1+rng.IntN(4), time.Duration(20+rng.IntN(400))*time.Millisecond)
			b.Millicores = 2_000 + uint64(rng.IntN(3))*8_000
			checkWhere(t, h, b, decisions)
			for _, name := range []string{"t0", "t1", "t2", "t3"} {
				if to := h.sched.byName[name]; len(to.attempts) > 0 && rng.IntN(3) == 0 {
					h.sched.Ended(h.now, name, to.attemptIDs()[0], EndDone)
				}
			}
		}
	}
	t.Logf("decisions: %v", decisions)
	for _, d := range []string{WouldStart, WouldWait, WouldRefuse} {
		require.Positive(t, decisions[d], d)
	}
}

func checkWhere(t *testing.T, h *harness, b *batch.Batch, decisions map[string]int) {
	t.Helper()
	before := h.sched.Snapshot()
	p := h.sched.Where(h.now, b)
	require.Equal(t, p.Decision, h.sched.Where(h.now, b).Decision)
	require.Equal(t, before, h.sched.Snapshot())
	decisions[p.Decision]++
	h.starts, h.startTargets = nil, nil
	h.submit(b)
	var outcome *jobend.Outcome
	if o, ended := h.outcomes[b.ID]; ended {
		outcome = &o
	}
	require.Equal(t, p.Decision == WouldRefuse, outcome != nil, "%+v", p)
	if outcome != nil {
		require.Equal(t, p.Reason, outcome.Reason)
		return
	}
	started := 0
	for i, s := range h.starts {
		if s.Task != b.TaskName(started) {
			continue
		}
		if started == 0 {
			for _, v := range p.Targets {
				if v.Agent == h.startTargets[i] {
					require.Empty(t, v.Excluded, "%+v", p)
				}
			}
		}
		started++
	}
	require.Len(t, p.Tasks, started, "%+v", p)
}

// TestWhereNamesTheTermThatDecides checks the reasons that operators see.
func TestWhereNamesTheTermThatDecides(t *testing.T) {
	h := newHarness()
	h.sched.KeepApart(func(pairs.Change) {})
	for i, st := range []TargetState{
		{Pace: 2},
		{Pace: 1},
		{Pace: 1, Held: true},
		{Pace: 9},
		{Pace: 1, UsedMillicores: 63_000},
		{Pace: 1, Service: "other"},
		{Pace: 1, Millicores: 1},
	} {
		st.Usable, st.MemoryMB = true, 100
		if st.Service == "" {
			st.Service = "s"
		}
		if st.Millicores == 0 {
			st.Millicores = 64_000
		}
		h.sched.Join(h.now, fmt.Sprint("t", i), "i", "z", st)
	}
	h.sched.Disconnect("t9", h.now)
	p := h.sched.Where(h.now, h.batch("j", 1, 40*time.Millisecond))
	require.Equal(t, WouldStart, p.Decision)
	require.Equal(t, []string{"t0"}, p.Tasks)
	var got []string
	for _, v := range p.Targets {
		got = append(got, v.Excluded+v.Term)
	}
	require.Equal(t, []string{"", "slow", excludedHeld, excludedLate, excludedNoRoom, excludedService, excludedSize}, got)
}
