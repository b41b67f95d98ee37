package config

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/test/fleet"
)

const (
	path    = "/v1/admin/config"
	timeout = 20 * time.Second
	poll    = 50 * time.Millisecond
)

var processes = []string{"entry-1", "entry-2", "entry-3", "agent-1", "agent-2"}

type reply struct {
	status  int
	Version int64    `json:"version"`
	Current int64    `json:"current"`
	Changed []string `json:"changed"`
}

// publish returns a status of 0 after an error, which it reports; it may run beside the test's goroutine.
func publish(t *testing.T, f *fleet.Fleet, entry string, base int64, text string) reply {
	t.Helper()
	document := "access = {operators = \"open\", callers = \"open\"}\n" + text
	body, _ := json.Marshal(map[string]any{"base": base, "author": "ana", "document": document})
	status, answer, err := f.Client(entry).Do(http.MethodPut, path, body, time.Now().Add(timeout))
	if err != nil {
		t.Errorf("publish at %s: %v", entry, err)
		return reply{}
	}
	r := reply{status: status}
	if err := json.Unmarshal(answer, &r); err != nil {
		t.Errorf("publish at %s: %v: %s", entry, err, answer)
	}
	return r
}

// version returns what a process has in force, or false when it doesn't answer.
func version(f *fleet.Fleet, process string) (int64, bool) {
	var state struct {
		Version int64 `json:"config-version"`
	}
	status, body, err := f.Client(process).Do(http.MethodGet, "/v1/admin/state", nil, time.Now().Add(time.Second))
	if err != nil || status != http.StatusOK || json.Unmarshal(body, &state) != nil {
		return 0, false
	}
	return state.Version, true
}

func await(f *fleet.Fleet, want int64, names ...string) {
	for _, name := range names {
		f.Await(fmt.Sprintf("version %d in force at %s", want, name), func() bool {
			got, ok := version(f, name)
			return ok && got >= want
		})
	}
}

// watch reports a version that goes down, until the returned function is called.
func watch(t *testing.T, f *fleet.Fleet, names ...string) (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	for _, name := range names {
		wg.Go(func() {
			last := int64(0)
			for {
				if got, ok := version(f, name); ok {
					if got < last {
						t.Errorf("%s went from version %d to %d", name, last, got)
					}
					last = got
				}
				select {
				case <-time.After(poll):
				case <-done:
					return
				}
			}
		})
	}
	return func() {
		close(done)
		wg.Wait()
	}
}

func TestAcceptedReachesFrozenCutAndRestartedProcesses(t *testing.T) {
	f := fleet.New(t, 3, 2)
	first := publish(t, f, "entry-1", 0, "")
	require.Equal(t, http.StatusOK, first.status)
	await(f, first.Version, processes...)
	stop := watch(t, f, "entry-1", "entry-3", "agent-1")
	defer stop()

	raced := race(t, f, first.Version)
	await(f, raced, processes...)

	f.Freeze("entry-3")
	f.Freeze("agent-1")
	missed := publish(t, f, "entry-1", raced, "retries.share = 0.3")
	f.Thaw("entry-3")
	f.Thaw("agent-1")
	require.Equal(t, http.StatusOK, missed.status)
	await(f, missed.Version, processes...)

	f.LogFaults(`{"down": true}`)
	f.Kill("agent-2")
	f.Restart("agent-2")
	f.Kill("entry-2")
	f.Restart("entry-2")
	await(f, missed.Version, "agent-2", "entry-2")

	f.LogFaults(`{"lose-answers": 3}`)
	last := publish(t, f, "entry-2", missed.Version, "retries.share = 0.4")
	require.Equal(t, http.StatusOK, last.status)
	await(f, last.Version, processes...)
}

// race publishes two changes on the same base at two entries, and returns the version that won.
func race(t *testing.T, f *fleet.Fleet, base int64) int64 {
	t.Helper()
	texts := map[string]string{"entry-1": "[teams.kits]\nweight = 2", "entry-2": "retries.share = 0.2"}
	replies := make(chan reply, len(texts))
	for entry, text := range texts {
		go func() { replies <- publish(t, f, entry, base, text) }()
	}
	won, lost := <-replies, <-replies
	if won.status != http.StatusOK {
		won, lost = lost, won
	}
	require.Equal(t, http.StatusOK, won.status)
	require.Equal(t, http.StatusConflict, lost.status)
	require.Equal(t, won.Version, lost.Current)
	require.Len(t, lost.Changed, 1)
	return won.Version
}
