package measure

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/io/caller"
)

// TestDirect prints response over ideal of tasks sent one after another to a target without the program between, as the base
// of the others, and then of the same tasks as jobs through the entries.
func TestDirect(t *testing.T) {
	r := newRig(t)
	const workMS, samples = 50, 100
	payload := fmt.Sprintf(`{"work-ms":%d,"text":"a"}`, workMS)
	paced := func(name string, send func(i int) (int, error)) {
		ratios := make([]float64, samples)
		for i := range ratios {
			begun := time.Now()
			status, err := send(i)
			require.NoError(t, err)
			require.Equal(t, 200, status)
			ratios[i] = time.Since(begun).Seconds() * 1000 / workMS
		}
		slices.Sort(ratios)
		t.Logf("%s: p50 %.3f, p99 %.3f", name, ratios[samples/2], ratios[samples-2])
	}
	target := r.Client(r.targets[0])
	paced("direct", func(int) (int, error) {
		status, _, err := target.Do("POST", "/run", []byte(payload), time.Now().Add(time.Second))
		return status, err
	})
	time.Sleep(time.Duration(warmUp * float64(time.Second)))
	entry := r.Client(r.entries[0])
	paced("through an entry", func(i int) (int, error) {
		text, err := json.Marshal(map[string]any{
			"id": fmt.Sprint("direct-", i), "team": "kits", "kind": "hash", "tasks": []any{map[string]any{"payload": []byte(payload)}},
		})
		require.NoError(t, err)
		body, deadline, err := caller.FillDefaults(text, time.Now())
		require.NoError(t, err)
		status, _, err := entry.Submit(body, deadline)
		return status, err
	})
}
