package proof

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/recov"
)

// outage returns for how long, in the world's time, no new job of a shard is accepted after its owner was killed, with or
// without a restart half a second later.
func outage(t *testing.T, at timing, entries, phase int, restart bool) time.Duration {
	w := newWorld(sound, at, 4, entries, 2, 1)
	for range 100 + phase {
		w.advance()
	}
	dead := w.entries[0]
	shard := dead.g.Gains()[0].Shard
	require.True(t, dead.g.Holds(w.now, shard))
	dead.up = false
	killed := w.now
	for i := range 1000 {
		if restart && i == int(time.Second/2/at.step) {
			w.boot(dead)
		}
		w.advance()
		if e := w.ownerOf(shard); e != nil {
			if e.recoveries[shard].Lookup(w.now, team, "new", w.now).Verdict == recov.NeverStarted {
				return w.now.Sub(killed)
			}
		}
	}
	t.Fatal("never served again")
	return 0
}

// TestOutage bounds the outage by its components: the suspect timeout, the grace with its margin, one heartbeat interval each for
// the last heartbeat received, the rank of the proposer, the retry interval and the echo, and three steps of the log.
func TestOutage(t *testing.T) {
	const step, beat = 50 * time.Millisecond, 200 * time.Millisecond
	for _, entries := range []int{2, 3} {
		for _, at := range []timing{
			{step: step, heartbeat: beat, suspect: time.Second, grace: time.Second},
			{step: step, heartbeat: beat, suspect: 1500 * time.Millisecond, grace: 2 * time.Second},
			{step: step, heartbeat: beat, suspect: 3 * time.Second, grace: 4 * time.Second},
		} {
			var dead, restarted time.Duration
			for phase := range 4 {
				dead = max(dead, outage(t, at, entries, phase, false))
				restarted = max(restarted, outage(t, at, entries, phase, true))
			}
			wait := at.grace + at.grace/16
			require.LessOrEqual(t, dead, at.suspect+wait+4*beat+3*step)
			require.LessOrEqual(t, restarted, time.Second/2+wait+4*beat+3*step)
			t.Logf("%d entries, suspect %v, grace %v: dead %v, restarted after 500ms %v", entries, at.suspect, at.grace, dead, restarted)
		}
	}
}
