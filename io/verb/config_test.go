package verb

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/rules"
	"persimmonstage/io/conf"
	"persimmonstage/io/confap"
	"persimmonstage/io/logcl"
	"persimmonstage/io/logsrv"
)

// commandTimeout bounds a test's wait for commands that normally end at once.
const commandTimeout = 30 * time.Second

var (
	timeText = regexp.MustCompile(`\d{4}-\d\d-\d\dT[0-9:.]+Z`)
	uuidText = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`)
)

// session runs commands and records the command lines with their output and exit codes.
type session struct {
	t    *testing.T
	text bytes.Buffer
}

func (s *session) run(line string) {
	s.t.Helper()
	var out, errs bytes.Buffer
	code := Main(append([]string{"persimmonstage"}, strings.Fields(line)...), nil, &out, &errs)
	s.text.WriteString("$ persimmonstage " + line + "\n" + out.String() + errs.String())
	if code != 0 {
		s.text.WriteString("exit code " + string(rune('0'+code)) + "\n")
	}
}

func (s *session) golden(name string) {
	s.t.Helper()
	got := timeText.ReplaceAll(s.text.Bytes(), []byte("TIME"))
	got = uuidText.ReplaceAll(got, []byte("UUID"))
	file := filepath.Join("testdata", name)
	if os.Getenv("UPDATE_GOLDEN") != "" {
		require.NoError(s.t, os.WriteFile(file, got, 0o644))
	}
	want, err := os.ReadFile(file)
	require.NoError(s.t, err)
	require.Equal(s.t, string(want), string(got))
}

// startFakeEntry serves the configuration API over a new stand-in log, and returns the log's address.
func startFakeEntry(t *testing.T) string {
	t.Helper()
	log, err := logsrv.Start("127.0.0.1:0", 100, 0)
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), commandTimeout)
	src := conf.New(conf.Options{Log: logcl.New(log.Addr()), Stream: "config"})
	done := make(chan struct{})
	go func() {
		defer close(done)
		src.Run(ctx)
	}()
	handler := confap.New(src, rules.HashToken("first-token"))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		token := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		status, answer := handler.Serve(r.Context(), r.Method, r.URL.Query(), token, body)
		w.WriteHeader(status)
		_, _ = w.Write(answer)
	}))
	t.Setenv("PERSIMMONSTAGE_ENTRY", server.URL)
	t.Cleanup(func() {
		server.Close()
		cancel()
		require.NoError(t, log.Close())
		<-done
	})
	return log.Addr()
}

func TestConfigCheckSession(t *testing.T) {
	t.Chdir("testdata/config")
	s := session{t: t}
	s.run("config check ana")
	s.run("config check bad")
	s.run("config check --json bad")
	s.run("config check")
	s.run("config check nowhere")
	t.Chdir("../..")
	s.golden("config-check.session")
}

func TestPublishConflictSession(t *testing.T) {
	log := startFakeEntry(t)
	t.Chdir("testdata/config")
	s := session{t: t}
	s.run("config publish base")
	s.run("config publish --token first-token base")
	s.run("config publish --token first-token base")
	s.run("config diff --token ana-token ana")
	s.run("config publish --token ana-token --base 1 ana")
	s.run("config publish --token ben-token --base 1 ben")
	s.run("config show --token ben-token")
	s.run("config publish --token ben-token --base 2 --json ben")
	s.run("config publish --token ben-token --id 0190a5a0-0000-7000-8000-000000000001 base")
	postFault(t, log, `{"lose-answers": 1}`)
	s.run("config publish --token ana-token --base 4 ben")
	s.run("config history --token ana-token --count 3")
	s.run("config diff --token ana-token 2 3")
	s.run("config diff --token ana-token 9")
	s.run("config show --token ana-token --version 9")
	t.Chdir("../..")
	s.golden("config-race.session")
}

func TestDrainSession(t *testing.T) {
	startFakeEntry(t)
	t.Chdir("testdata/config")
	t.Setenv("PERSIMMONSTAGE_OPERATOR_TOKEN", "ana-token")
	s := session{t: t}
	s.run("config publish --token first-token base")
	s.run("drain")
	s.run("drain --target saw-2 --host 10.0.0.7 --host 10.0.0.3")
	s.run("drain --target saw-2")
	s.run("drain --host 10.0.0.7 --undo --json")
	s.run("drain --host ../etc")
	s.run("config diff base")
	t.Chdir("../..")
	s.golden("drain.session")
}

func TestConcurrentDrainsAllApply(t *testing.T) {
	startFakeEntry(t)
	t.Setenv("PERSIMMONSTAGE_OPERATOR_TOKEN", "ana-token")
	first := session{t: t}
	first.run("config publish --token first-token testdata/config/base")
	var wg sync.WaitGroup
	for _, target := range []string{"a", "b", "c", "d"} {
		wg.Go(func() {
			s := session{t: t}
			s.run("drain --target " + target)
		})
	}
	wg.Wait()
	last := session{t: t}
	last.run("drain")
	require.Contains(t, last.text.String(), "drained targets: a, b, c, d\n")
}

func TestTokenMatchesItsHash(t *testing.T) {
	var out, errs bytes.Buffer
	require.Zero(t, Main([]string{"persimmonstage", "config", "token"}, nil, &out, &errs))
	fields := strings.Fields(out.String())
	require.Len(t, fields, 4)
	require.Equal(t, rules.HashToken(fields[1]), fields[3])
}

func postFault(t *testing.T, addr, body string) {
	t.Helper()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+addr+"/v1/faults", "application/json", strings.NewReader(body))
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusOK, resp.StatusCode)
}
