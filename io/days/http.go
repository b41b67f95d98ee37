package days

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// policy allows the page only its inline style, so that names shown on it can't load or run anything.
const policy = "default-src 'none'; style-src 'unsafe-inline'; base-uri 'none'; form-action 'none'; frame-ancestors 'none'"

// Handle serves a GET of the day in the argument "day", by default today; the argument "form" selects another form.
func (d *Days) Handle(ctx *fasthttp.RequestCtx, form string) {
	if !ctx.IsGet() && !ctx.IsHead() {
		ctx.Response.Header.Set(fasthttp.HeaderAllow, "GET, HEAD")
		ctx.SetStatusCode(fasthttp.StatusMethodNotAllowed)
		ctx.SetBodyString("method: limit GET\n")
		return
	}
	args := ctx.QueryArgs()
	if other := args.Peek("form"); len(other) > 0 {
		form = string(other)
	}
	contentType, body, err := d.Render(ctx, time.Now(), string(args.Peek("day")), form)
	ctx.Response.Header.Set("Content-Security-Policy", policy)
	ctx.Response.Header.Set("X-Content-Type-Options", "nosniff")
	ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-store")
	if err != nil {
		ctx.SetStatusCode(statusOf(err))
		ctx.SetContentType("text/plain; charset=utf-8")
		ctx.SetBodyString(err.Error() + "\n")
		return
	}
	ctx.SetContentType(contentType)
	ctx.SetBody(body)
}

func statusOf(err error) int {
	var bad *Error
	if errors.As(err, &bad) {
		return bad.Status()
	}
	return fasthttp.StatusInternalServerError
}
