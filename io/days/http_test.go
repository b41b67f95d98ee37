package days_test

import (
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"persimmonstage/io/days"
)

func get(d *days.Days, method, uri string) *fasthttp.Response {
	var ctx fasthttp.RequestCtx
	var req fasthttp.Request
	req.Header.SetMethod(method)
	req.SetRequestURI(uri)
	ctx.Init(&req, nil, nil)
	d.Handle(&ctx, days.HTML)
	return &ctx.Response
}

func TestHandle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := days.New(&fakeLog{}, zone, nil)
		defer d.Close()
		for _, c := range []struct {
			method, uri string
			status      int
			contentType string
		}{
			{"GET", "/", 200, "text/html; charset=utf-8"},
			{"GET", "/?form=json", 200, "application/json"},
			{"GET", "/?form=pdf", 400, "text/plain; charset=utf-8"},
			{"GET", "/?day=<script>", 400, "text/plain; charset=utf-8"},
			{"GET", "/?day=2199-01-01", 404, "text/plain; charset=utf-8"},
			{"POST", "/", 405, "text/plain; charset=utf-8"},
		} {
			resp := get(d, c.method, c.uri)
			require.Equal(t, c.status, resp.StatusCode(), c.uri)
			require.Equal(t, c.contentType, string(resp.Header.ContentType()), c.uri)
		}
		resp := get(d, "GET", "/")
		require.Contains(t, string(resp.Header.Peek("Content-Security-Policy")), "default-src 'none'")
		require.Contains(t, string(resp.Body()), "<!DOCTYPE html>")
	})
}
