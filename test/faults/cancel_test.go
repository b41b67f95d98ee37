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

// A wave of cancellations, at the entry that the jobs were not sent to: each job ends with one answer for all that ask,
// which is true by the targets' counts, and nothing starts after it.
func TestAWaveOfCancellations(t *testing.T) {
	f := fleet.New(t, 2, 2)
	const jobs, tasks = 16, 8
	var wg sync.WaitGroup
	bodies, told, wave := make([][]byte, jobs), make([][]byte, jobs), make([][]byte, jobs)
	deadline := time.Now().Add(lifetime)
	for i := range jobs {
		bodies[i], _ = job(t, fmt.Sprintf("wave-%d", i), "sort", tasks, 300, lifetime)
		wg.Go(func() { _, told[i], _ = f.Client("entry-1").Submit(bodies[i], deadline) })
	}
	f.Await("tasks run while others wait", func() bool { return len(f.AllStarts(2)) >= tasks })
	for i := range jobs {
		wg.Go(func() {
			// A cancellation that overtakes its submission is told that there is no record, and comes again.
			for status := 504; status == 504; {
				status, wave[i], _ = f.Client("entry-2").Do("DELETE", fmt.Sprintf("/v1/jobs/kits/wave-%d", i), nil, deadline)
			}
		})
	}
	wg.Wait()
	starts, before := f.AllStarts(2), 0
	for i := range jobs {
		require.Equal(t, string(told[i]), string(wave[i]))
		_, again, _ := f.Client("entry-2").Submit(bodies[i], deadline)
		require.Equal(t, string(told[i]), string(again))
		var r reply
		require.NoError(t, json.Unmarshal(told[i], &r))
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
	require.Positive(t, before, "some of %d tasks on 16 slots had not started", jobs*tasks)
	require.Equal(t, starts, f.AllStarts(2))
}
