package entryd

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"persimmonstage/core/answer"
	"persimmonstage/core/intake"
	"persimmonstage/core/jobkey"
	"persimmonstage/io/days"
	"persimmonstage/io/guard"
	"persimmonstage/io/submit"
)

const (
	jsonType    = "application/json"
	idleTimeout = 75 * time.Second
	readTimeout = 30 * time.Second
	// connBytes is the memory of a connection: a buffer for the largest header, a body of up to 8 KB, an answer, stacks.
	connBytes = 128 << 10
	// ownCores are the cores by which the processor time for framing is reckoned.
	ownCores = 1
	// retryAfter is when a request may come again that was given up since requests hold too much together or came too slowly.
	retryAfter = time.Second
)

// server creates the HTTP server for callers and operators; headers over the limit never reach a handler.
func (d *Daemon) server() *fasthttp.Server {
	s := &fasthttp.Server{
		Handler:               d.route,
		ErrorHandler:          d.refuseRequest,
		Logger:                zap.NewStdLog(d.log),
		MaxRequestBodySize:    maxBodyBytes,
		ReadBufferSize:        maxHeaderBytes,
		ReduceMemoryUsage:     true,
		IdleTimeout:           idleTimeout,
		ReadTimeout:           readTimeout,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Concurrency:           maxConnections,
	}
	guard.Attach(s)
	return s
}

// newGuard returns the guard of the connections of callers and operators.
func (d *Daemon) newGuard() *guard.Guard {
	l := intake.LimitsOf(d.set.Limits.Memory(), d.set.Limits.Descriptors(), connBytes)
	l.Framing = intake.FramingRate(ownCores)
	g := guard.New("http", l, d.log)
	g.Register(d.metrics.registry)
	return g
}

const (
	maxConnections = 100_000
	// maxBodyBytes is the largest limit that a configuration can set; the limit in force is checked while a body is read.
	maxBodyBytes = 64 << 20
	// maxHeaderBytes is the largest limit that a configuration can set; a connection keeps a buffer of this size from its first request on.
	maxHeaderBytes = 64 << 10
)

// refuseRequest answers a request that could not be read.
func (d *Daemon) refuseRequest(ctx *fasthttp.RequestCtx, err error) {
	lim := d.limits.Load()
	var small *fasthttp.ErrSmallBuffer
	switch err = guard.RequestError(ctx, err); {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		d.refuse(ctx, fasthttp.StatusRequestEntityTooLarge, fmt.Sprintf("body: too large, limit %d bytes", lim.BodyBytes))
	case errors.As(err, &small):
		d.refuse(ctx, fasthttp.StatusRequestEntityTooLarge, fmt.Sprintf("header: too large, limit %d bytes", lim.HeaderBytes))
	default:
		d.refuseUnread(ctx, err)
	}
}

// refuseUnread answers a request that was given up, came too slowly or could not be read, and closes its connection.
func (d *Daemon) refuseUnread(ctx *fasthttp.RequestCtx, err error) {
	ctx.SetConnectionClose()
	if errors.Is(err, guard.ErrGivenUp) || errors.Is(err, guard.ErrLate) {
		send(ctx, replyOf(answer.Refusal(answer.StatusUnavailable, "", "request: "+err.Error(), "", retryAfter)))
		return
	}
	d.refuse(ctx, fasthttp.StatusBadRequest, "request: "+err.Error())
}

// body reads the body of a request. If that isn't possible or the body is too large, it answers that nothing was run and returns false.
func (d *Daemon) body(ctx *fasthttp.RequestCtx, limit int) ([]byte, bool) {
	body, err := guard.Body(ctx, int64(limit))
	var large *http.MaxBytesError
	switch {
	case err == nil:
		return body, true
	case !errors.As(err, &large):
		d.refuseUnread(ctx, err)
	case ctx.Request.Header.ContentLength() > limit:
		d.refuse(ctx, fasthttp.StatusRequestEntityTooLarge, fmt.Sprintf("body: %d bytes, limit %d", ctx.Request.Header.ContentLength(), limit))
	default:
		d.refuse(ctx, fasthttp.StatusRequestEntityTooLarge, fmt.Sprintf("body: too large, limit %d bytes", limit))
	}
	return nil, false
}

func (d *Daemon) refuse(ctx *fasthttp.RequestCtx, status int, reason string) {
	send(ctx, replyOf(answer.Refusal(status, "", reason, "", 0)))
}

func send(ctx *fasthttp.RequestCtx, r reply) {
	ctx.SetStatusCode(r.status)
	ctx.SetContentType(jsonType)
	if r.retryAfter > 0 {
		seconds := int64((r.retryAfter + time.Second - 1) / time.Second)
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(seconds, 10))
	}
	ctx.SetBody(r.body)
}

const (
	jobsPath  = "/v1/jobs"
	adminPath = "/v1/admin/"
)

func (d *Daemon) route(ctx *fasthttp.RequestCtx) {
	d.requests.Add(1)
	defer d.requests.Add(-1)
	if n, limit := len(ctx.Request.Header.RawHeaders()), d.limits.Load().HeaderBytes; n > limit {
		d.refuse(ctx, fasthttp.StatusRequestEntityTooLarge, fmt.Sprintf("header: %d bytes, limit %d", n, limit))
		return
	}
	path := string(ctx.Path())
	switch {
	case path == jobsPath:
		d.postJob(ctx)
	case strings.HasPrefix(path, jobsPath+"/"):
		d.oneJob(ctx, path[len(jobsPath)+1:])
	case strings.HasPrefix(path, adminPath):
		d.admin(ctx, path[len(adminPath):])
	case path == "/healthz":
		ctx.SetBodyString("ok\n")
	case path == "/readyz":
		d.readyz(ctx)
	case path == "/metrics":
		d.metrics.handler(ctx)
	case path == "/":
		d.page(ctx)
	default:
		ctx.Error("no such path\n", fasthttp.StatusNotFound)
	}
}

func (d *Daemon) postJob(ctx *fasthttp.RequestCtx) {
	if !ctx.IsPost() {
		ctx.Response.Header.Set(fasthttp.HeaderAllow, fasthttp.MethodPost)
		d.refuse(ctx, fasthttp.StatusMethodNotAllowed, "method: "+string(ctx.Method())+" is not allowed, limit POST")
		return
	}
	lim := d.limits.Load()
	body, ok := d.body(ctx, lim.BodyBytes)
	if !ok {
		return
	}
	j, err := submit.Decode(body, *lim, time.Now())
	if err != nil {
		d.metrics.malformed.Inc()
		send(ctx, malformed(err))
		return
	}
	if status, reason := d.authorize(ctx, j.Key.Team); status != 0 {
		d.countRefusal(j.Key.Team, j.Kind, "unauthorised")
		d.refuse(ctx, status, reason)
		return
	}
	j.DataCentre = d.set.DataCentre
	// The payloads are held until the answer. From here on the request isn't given up in favour of others.
	conn := guard.ConnOf(ctx)
	if !conn.Keep(j.PayloadBytes()) {
		err = guard.ErrGivenUp
	} else {
		err = conn.Serve()
	}
	if err != nil {
		d.refuseUnread(ctx, err)
		return
	}
	send(ctx, d.submit(j))
}

func malformed(err error) reply {
	var e *submit.Error
	if !errors.As(err, &e) {
		return replyOf(answer.Refusal(answer.StatusMalformed, "", err.Error(), "", 0))
	}
	a := answer.Refusal(e.Status(), "", e.Error(), "", 0)
	if e.MayHaveRun() {
		a.NotRunKnown = false
	}
	return replyOf(a)
}

// oneJob serves the lookup or the cancellation of a submission.
func (d *Daemon) oneJob(ctx *fasthttp.RequestCtx, rest string) {
	team, id, ok := strings.Cut(rest, "/")
	if !ctx.IsGet() && !ctx.IsDelete() || !ok || team == "" || id == "" {
		ctx.Error("no such path\n", fasthttp.StatusNotFound)
		return
	}
	if status, reason := d.authorize(ctx, team); status != 0 {
		d.refuse(ctx, status, reason)
		return
	}
	send(ctx, d.lookup(jobkey.Key{Team: team, ID: id}, ctx.IsDelete(), guard.ConnOf(ctx).Gone()))
}

func (d *Daemon) readyz(ctx *fasthttp.RequestCtx) {
	if d.draining.Load() || d.mapVersion() == 0 || !d.config.Ready() && !d.openAccess() {
		ctx.Error("not ready\n", fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString("ready\n")
}

func (d *Daemon) page(ctx *fasthttp.RequestCtx) { d.days.Handle(ctx, days.HTML) }

func taskField(i int) string { return fmt.Sprintf("tasks[%d].", i) }
