package faults

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/test/fleet"
)

// Cancels many jobs at once through another entry than the one they were submitted to. Each job must end with the same answer
// for every caller, the answer must agree with the targets' start counts, and no task may start after it.
func TestConcurrentCancellations(t *testing.T) {
	f := fleet.New(t, 2, 2)
	const jobs, tasks = 16, 8
	var wg sync.WaitGroup
	bodies, submitted, cancelled := make([][]byte, jobs), make([][]byte, jobs), make([][]byte, jobs)
	deadline := time.Now().Add(lifetime)
	for i := range jobs {
		bodies[i], _ = job(t, fmt.Sprintf("wave-%d", i), "sort", tasks, 300, lifetime)
		wg.Go(func() { _, submitted[i], _ = f.Client("entry-1").Submit(bodies[i], deadline) })
	}
	f.Await("tasks run while others wait", func() bool { return len(f.AllStarts(2)) >= tasks })
	for i := range jobs {
		wg.Go(func() {
			// A cancellation that arrives before its submission gets 504, as there is no record of the job; it is retried.
			for status := 504; status == 504; {
				status, cancelled[i], _ = f.Client("entry-2").Do("DELETE", fmt.Sprintf("/v1/jobs/kits/wave-%d", i), nil, deadline)
			}
		})
	}
	wg.Wait()
	starts, before := f.AllStarts(2), 0
	for i := range jobs {
		require.Equal(t, string(submitted[i]), string(cancelled[i]))
		_, again, _ := f.Client("entry-2").Submit(bodies[i], deadline)
		require.Equal(t, string(submitted[i]), string(again))
		var r reply
		require.NoError(t, json.Unmarshal(submitted[i], &r))
		if r.Outcome == "complete" {
			require.Len(t, r.Results, tasks)
			continue
		}
		if strings.Contains(r.Reason, "before any task started") {
			before++
			for task := range starts {
				require.False(t, strings.HasPrefix(task, fmt.Sprintf("kits/wave-%d/", i)), task)
			}
			continue
		}
		require.Equal(t, "cancelled by the caller after a task had started", r.Reason)
		require.False(t, *r.NotRun)
	}
	require.Positive(t, before, "no job was cancelled before its start, of %d tasks on 16 slots", jobs*tasks)
	require.Equal(t, starts, f.AllStarts(2))
}
