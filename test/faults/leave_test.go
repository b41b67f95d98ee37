package faults

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/test/fleet"
)

// Once an agent reports that it is not ready, its target must get no new tasks, even from an entry that was frozen and hasn't
// received the report; running tasks must complete.
func TestLeavingTargetGetsNothingNew(t *testing.T) {
	f := fleet.New(t, 2, 2)
	long, deadline := job(t, "long", "sort", 8, 4000, lifetime)
	answered := make(chan reply, 1)
	go func() {
		r, err := submitOnce(f, "entry-1", long, deadline)
		if err != nil {
			r.Outcome = err.Error()
		}
		answered <- r
	}()
	f.Await("tasks run at both targets", func() bool {
		return f.Starts("target-1").Total > 0 && f.Starts("target-2").Total > 0
	})
	f.Freeze("entry-2")
	code := make(chan int, 1)
	go func() { code <- f.Stop("agent-1") }()
	f.Await("the agent is leaving", func() bool {
		status, _, err := f.Client("agent-1").Do("GET", "/readyz", nil, time.Now().Add(time.Second))
		return err == nil && status == 503
	})
	before := f.Starts("target-1").Total
	f.Thaw("entry-2")
	var all []outcome
	for i := range 20 {
		all = append(all, submitInTurn(f, t, fmt.Sprintf("new-%d", i), 1, lifetime, "entry-2")...)
	}
	require.Equal(t, before, f.Starts("target-1").Total)
	requireAllComplete(t, all)
	require.Equal(t, "complete", (<-answered).Outcome)
	require.Zero(t, <-code)
}
