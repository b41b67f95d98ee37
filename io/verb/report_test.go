package verb_test

import (
	"bytes"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"persimmonstage/core/cause"
	"persimmonstage/core/day"
	"persimmonstage/core/tally"
	"persimmonstage/io/page"
	"persimmonstage/io/verb"
)

// fakeEntry serves the account of a fixed day; it returns its address and a function that returns its last request.
func fakeEntry(t *testing.T) (addr string, seen func() string) {
	at := time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)
	a := tally.New("entry-1", "i1")
	a.Refused(at, "castle-kits", "label", cause.OverQuota)
	a.Close(at)
	r, _ := a.Next()
	d := day.New(at, time.UTC)
	d.Add(r)
	var body bytes.Buffer
	require.NoError(t, page.New(d.Digest(at)).WriteJSON(&body))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	last := make(chan string, 1)
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		last <- string(ctx.RequestURI()) + " " + string(ctx.Request.Header.Peek("Authorization"))
		if string(ctx.QueryArgs().Peek("day")) == "2026-01-01" {
			ctx.Error("day \"2026-01-01\": lies before the last 8 days, which are kept\n", fasthttp.StatusNotFound)
			return
		}
		if string(ctx.QueryArgs().Peek("day")) == "2026-01-02" {
			ctx.SetBodyString("{}")
			return
		}
		ctx.SetBody(body.Bytes())
	}}
	done := make(chan error, 1)
	go func() { done <- server.Serve(ln) }()
	t.Cleanup(func() {
		require.NoError(t, server.Shutdown())
		require.NoError(t, <-done)
	})
	return "http://" + ln.Addr().String(), func() string { return <-last }
}

func runVerb(args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = verb.Main(append([]string{"persimmonstage"}, args...), strings.NewReader(""), &out, &errs)
	return code, out.String(), errs.String()
}

func TestReport(t *testing.T) {
	addr, seen := fakeEntry(t)
	code, out, _ := runVerb("report", "--entry", addr+"/", "--token", "secret", "--day", "2026-03-02")
	require.Zero(t, code)
	require.Equal(t, "/v1/admin/report?day=2026-03-02&form=json Bearer secret", seen())
	require.Contains(t, out, "No. 1 of 1 job suffered: 1 refused (not run).")
	require.Contains(t, out, "The team asked for more than its quota allows.")

	code, out, _ = runVerb("report", "--entry", addr, "--json")
	require.Zero(t, code)
	require.Equal(t, "/v1/admin/report?form=json ", seen())
	require.Contains(t, out, `"went": "badly"`)

	file := filepath.Join(t.TempDir(), "day.html")
	code, out, _ = runVerb("report", "--entry", addr, "--html", file)
	seen()
	require.Zero(t, code)
	require.Empty(t, out)
	html, err := os.ReadFile(file)
	require.NoError(t, err)
	require.True(t, strings.HasPrefix(string(html), "<!DOCTYPE html>"))
}

func TestReportErrors(t *testing.T) {
	addr, seen := fakeEntry(t)
	code, _, errs := runVerb("report", "--entry", addr, "--day", "2026-01-01")
	seen()
	require.Equal(t, 1, code)
	require.Contains(t, errs, "answer 404: day \"2026-01-01\": lies before the last 8 days")
	code, _, errs = runVerb("report", "--entry", addr, "--day", "2026-01-02")
	seen()
	require.Equal(t, 1, code)
	require.Contains(t, errs, "the entry's answer: the account of a day: day: missing")
	for want, args := range map[string][]string{
		"--day: \"monday\" is not a date in the form YYYY-MM-DD": {"report", "--day", "monday"},
		"--json and --html: only one of them":                    {"report", "--json", "--html", "x"},
		"unexpected argument \"x\"":                              {"report", "x"},
	} {
		code, _, errs := runVerb(args...)
		require.Equal(t, 1, code)
		require.Contains(t, errs, want)
	}
}
