package confap

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/rules"
	"persimmonstage/io/conf"
	"persimmonstage/io/logcl"
	"persimmonstage/io/logsrv"
)

const testTimeout = 20 * time.Second

type harness struct {
	t       *testing.T
	handler *Handler
	source  *conf.Source
	log     *logsrv.Server
	ctx     context.Context
}

func newHarness(t *testing.T, bootstrap string) *harness {
	t.Helper()
	log, err := logsrv.Start("127.0.0.1:0", 100, 0)
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	src := conf.New(conf.Options{Log: logcl.New(log.Addr()), Stream: "config"})
	done := make(chan struct{})
	go func() {
		defer close(done)
		src.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, log.Close())
		<-done
	})
	return &harness{t: t, handler: New(src, bootstrap), source: src, log: log, ctx: ctx}
}

func (b *harness) call(method, query, token, body string) (int, string) {
	values, err := url.ParseQuery(query)
	require.NoError(b.t, err)
	status, out := b.handler.Serve(b.ctx, method, values, token, []byte(body))
	return status, string(out)
}

func (b *harness) put(token, id string, base int64, document string) (int, string) {
	body, err := json.Marshal(publication{ID: id, Base: &base, Document: document})
	require.NoError(b.t, err)
	return b.call(http.MethodPut, "", token, string(body))
}

var operators = "[operators.ana]\ntoken-hash = \"" + rules.HashToken("a") + "\"\n[operators.ben]\ntoken-hash = \"" + rules.HashToken("b") + "\"\n"

func TestPublishReadCompare(t *testing.T) {
	b := newHarness(t, rules.HashToken("first"))
	status, _ := b.put("a", "", 0, operators)
	require.Equal(t, http.StatusUnauthorized, status)
	status, body := b.put("first", "", 0, operators)
	require.Equal(t, http.StatusOK, status, body)
	require.JSONEq(t, `{"version":1}`, body)
	status, _ = b.put("first", "", 1, operators)
	require.Equal(t, http.StatusUnauthorized, status)

	status, body = b.put("a", "", 1, operators+"[teams.kits]\nweight = 3\n")
	require.Equal(t, http.StatusOK, status, body)
	status, body = b.put("b", "", 1, operators+"[teams.kits]\nweight = 4\n")
	require.Equal(t, http.StatusConflict, status)
	require.Contains(t, body, `"current":2,"changed":["teams.kits.weight"]`)
	status, body = b.put("b", "", 2, operators+"[teams.kits]\nweight = 4\n")
	require.Equal(t, http.StatusOK, status, body)
	require.JSONEq(t, `{"version":3}`, body)

	status, body = b.call(http.MethodGet, "from=2&to=3", "a", "")
	require.Equal(t, http.StatusOK, status)
	require.JSONEq(t, `{"from":2,"to":3,"changes":[{"key":"teams.kits.weight","literal":"4","was":"3"}]}`, body)
	status, body = b.call(http.MethodGet, "version=2&history=2", "a", "")
	require.Equal(t, http.StatusOK, status)
	var got versionBody
	require.NoError(t, json.Unmarshal([]byte(body), &got))
	require.Contains(t, got.Document, "weight = 3")
	require.Len(t, got.History, 2)
	require.Equal(t, "ben", got.History[0].Author)
	require.Equal(t, []change{{Key: "teams.kits.weight", Literal: "3"}}, got.History[1].Changes)
	status, _ = b.call(http.MethodGet, "version=9", "a", "")
	require.Equal(t, http.StatusNotFound, status)
}

func TestErrorsNameTheField(t *testing.T) {
	b := newHarness(t, OpenBootstrap)
	for _, c := range []struct {
		body, want string
		status     int
	}{
		{`{"base":0,"document":"access.operators = \"open\"\nretries.share = 2"}`, `{"file":"document","line":2,"key":"retries.share","reason":"2 is out of range: must be between 0 and 1"}`, 400},
		{`{"base":0,"document":"a = "}`, `{"file":"document","line":1,"key":"","reason":"expected value, not end of input"}`, 400},
		{`{"document":""}`, `{"file":"body","line":0,"key":"base","reason":"is required: the version that this one refines, 0 for the first"}`, 400},
		{`{"base":0,"bass":1}`, `{"file":"body","line":0,"key":"","reason":"json: unknown field \"bass\""}`, 400},
		{`{"base":0,"id":"x"}`, `{"file":"body","line":0,"key":"id","reason":"must be a UUID"}`, 400},
		{strings.Repeat(" ", MaxBodyBytes+1), `{"file":"request","line":0,"key":"","reason":"body of 1048577 bytes: must be at most 1048576"}`, 413},
	} {
		status, body := b.call(http.MethodPut, "", "", c.body)
		require.Equal(t, c.status, status)
		require.JSONEq(t, c.want, body)
	}
	status, _ := b.call(http.MethodDelete, "", "", "")
	require.Equal(t, http.StatusMethodNotAllowed, status)
	status, body := b.call(http.MethodGet, "history=x", "", "")
	require.Equal(t, http.StatusBadRequest, status)
	require.Contains(t, body, `"key":"history"`)
}

func TestLostAppendResponseAndOutage(t *testing.T) {
	b := newHarness(t, OpenBootstrap)
	b.fault(`{"lose-answers": 1}`)
	const id = "0190a5a0-0000-7000-8000-000000000001"
	status, body := b.put("", id, 0, `access.operators = "open"`)
	require.Equal(t, http.StatusOK, status, body)
	status, again := b.put("", id, 0, `access.operators = "open"`)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, body, again)

	b.fault(`{"down": true}`)
	ctx, cancel := context.WithTimeout(b.ctx, 100*time.Millisecond)
	defer cancel()
	b.ctx = ctx
	status, body = b.put("", "", 1, "access.operators = \"open\"\nretries.share = 0.5")
	require.Equal(t, http.StatusServiceUnavailable, status, body)
	require.Contains(t, body, `"maybe-published":false`)
}

func (b *harness) fault(body string) {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+b.log.Addr()+"/v1/faults", "application/json", strings.NewReader(body))
	require.NoError(b.t, err)
	require.NoError(b.t, resp.Body.Close())
	require.Equal(b.t, http.StatusOK, resp.StatusCode)
}
