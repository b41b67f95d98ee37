package trace_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/trace"
)

func at(second int, name, message, fields string) string {
	return fmt.Sprintf(`12.5 host {"level":"info","time":"2026-01-01T00:00:%02dZ","message":%q,"role":"entry","name":%q%s}`,
		second, message, name, fields)
}

const id = `,"id":"5c0e7a21d94b36f8"`

func TestCauseExplainsEachEnd(t *testing.T) {
	for _, c := range []struct{ fields, cause string }{
		{`,"fate":"done","took-ms":90,"objective-ms":100`, "answered in 90 ms, in time"},
		{`,"fate":"done","took-ms":190,"objective-ms":100`, "after its objective of about 100 ms"},
		{`,"fate":"refused","reason":"overload","waited-ms":20,"load-percent":97,"agents":11`, "97% of 11 targets' cores"},
		{`,"fate":"refused","reason":"no-target"`, "knew no target"},
		{`,"fate":"refused","reason":"too-large"`, "more than any target holds"},
		{`,"fate":"failed"`, "failed in every permitted attempt"},
		{`,"fate":"failed","reason":"crashes-targets"`, "crashed the targets that started it"},
		{`,"fate":"refused","reason":"confined"`, "its queue crashes targets"},
		{`,"fate":"unfinished","reason":"confined","took-ms":30`, "given up after 30 ms, as its queue crashes targets"},
		{`,"fate":"unfinished","reason":"too-long","took-ms":80,"open":["t@1.2"]`, "given up after 80 ms"},
		{`,"fate":"unfinished","reason":"no-target","took-ms":801`, "given up after 801 ms, as the entry had lost all targets"},
		{`,"fate":"unfinished","reason":"deadline","tasks":3,"done":2`, "2 of 3 tasks had ended"},
		{`,"fate":"cancelled","reason":"caller-left","took-ms":7`, "the caller left after 7 ms"},
		{`,"fate":"cancelled","reason":"withdrawn","took-ms":7`, "withdrew it after 7 ms"},
	} {
		tr := trace.New("5c0e7a21d94b36f8")
		tr.Add(at(1, "e-1", "job taken", id))
		tr.Add(at(2, "e-1", "job ended", id+c.fields))
		require.Contains(t, tr.Cause(), c.cause)
		require.Len(t, tr.Lines(), 2)
	}
}

func TestCauseOfAJobWithoutAnEndDescribesItsEntry(t *testing.T) {
	tr := trace.New("5c0e7a21d94b36f8")
	require.Contains(t, tr.Cause(), "no process logged anything")
	tr.Add(at(3, "e-1", "job taken", id))
	tr.Add(at(9, "e-2", "job taken", `,"id":"other"`))
	require.Contains(t, tr.Cause(), "e-1 logged nothing about it in the last 6000 ms")
	tr.Add(at(5, "e-1", "entry started", ""))
	require.Contains(t, tr.Cause(), "e-1 terminated without logging the end of the job, and restarted 2000 ms later")
}

// TestRefusalOfAnUnknownQueueNamesTheConfiguration guards against a 404 for a queue that an operator had added, of which no log told
// by which version, from where and how old, it was decided.
func TestRefusalOfAnUnknownQueueNamesTheConfiguration(t *testing.T) {
	tr := trace.New("5c0e7a21d94b36f8")
	fields := id + `,"host":"a.example","path":"/l/5c0e7a21d94b36f8","configuration":7,"source":"agent-1"`
	tr.Add(at(3, "e-1", "queue not found", fields))
	require.Contains(t, tr.Cause(), "configuration 7, which came from agent-1, has no queue for a.example/l/5c0e7a21d94b36f8")
	require.Contains(t, tr.Cause(), "to be tried again")
	require.Contains(t, tr.Cause(), "never confirmed")
	tr.Add(at(4, "e-1", "queue not found", fields+`,"confirmed":true,"confirmed-ms":900`))
	require.Contains(t, tr.Cause(), "confirmed it as the newest 900 ms before")
	require.NotContains(t, tr.Cause(), "tried again")
}

func TestTasksBelongToTheirJobAndOtherLinesAreIgnored(t *testing.T) {
	tr := trace.New("5c0e7a21d94b36f8")
	for _, l := range []string{
		"no json", `{"time":"yesterday"}`, "{",
		at(2, "a-1", "attempt ended", `,"task":"5c0e7a21d94b36f8.0.0.1","how":"failed","agent":"a-1"`),
		at(1, "a-1", "run ended", `,"task":"5c0e7a21d94b36f80.0.0.1"`),
		at(4, "e-1", "job ended", id+`,"fate":"failed"`),
	} {
		tr.Add(l)
	}
	require.Len(t, tr.Lines(), 2)
	require.Contains(t, tr.Lines()[0], "attempt ended agent=a-1 how=failed")
	require.Contains(t, tr.Cause(), "at a-1")
}
