package faults

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"persimmonstage/test/fleet"
)

const openDocument = "[access]\ncallers = \"open\"\noperators = \"open\"\n"

// publish publishes a configuration based on a version and returns the new version.
func publish(t *testing.T, f *fleet.Fleet, base int64, document string) int64 {
	t.Helper()
	body, err := json.Marshal(map[string]any{"base": base, "author": "test", "document": document})
	require.NoError(t, err)
	status, got, err := f.Client("entry-1").Do("PUT", "/v1/admin/config", body, time.Now().Add(10*time.Second))
	require.NoError(t, err)
	require.Equal(t, 200, status, string(got))
	var answer struct {
		Version int64 `json:"version"`
	}
	require.NoError(t, json.Unmarshal(got, &answer))
	return answer.Version
}

// A published header limit must take effect without a restart, whether it is lowered or raised.
func TestHeaderLimitFollowsTheConfiguration(t *testing.T) {
	f := fleet.New(t, 1, 1)
	get := func(headerBytes int) (int, string) {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.SetRequestURI(f.URL("entry-1") + "/healthz")
		req.Header.Set("Padding", strings.Repeat("x", headerBytes))
		require.NoError(t, fasthttp.Do(req, resp))
		return resp.StatusCode(), string(resp.Body())
	}
	status, _ := get(4000)
	require.Equal(t, 200, status)
	version := publish(t, f, 0, openDocument+"[limits]\nheader-bytes = 1024\n")
	status, body := get(4000)
	require.Equal(t, 413, status)
	require.Contains(t, body, "limit 1024")
	publish(t, f, version, openDocument+"[limits]\nheader-bytes = 32768\n")
	status, _ = get(20_000)
	require.Equal(t, 200, status)
}

// Jobs over a team's quota must be refused, and no job that is refused as "not run" may have started.
func TestQuotaRefusedJobsDoNotStart(t *testing.T) {
	f := fleet.New(t, 1, chaosAgents)
	publish(t, f, 0, openDocument+"[teams.kits]\nquota-starts-per-second = 2\n")
	var all []outcome
	f.Await("the quota refuses", func() bool {
		round := submitInTurn(f, t, fmt.Sprintf("quota-%d", len(all)), 20, 500*time.Millisecond, "entry-1")
		all = append(all, round...)
		for _, o := range round {
			if r := o.answers[0]; r.Outcome == "refused" && r.NotRun != nil && *r.NotRun {
				return true
			}
		}
		return false
	})
	checkOutcomes(t, f.AllStarts(chaosAgents), all)
}
