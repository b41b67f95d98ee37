package lessor

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"persimmonstage/io/httpd"
)

const (
	maxBodyBytes = 4 << 20
	// idleTimeout must exceed the client's, which would otherwise send on a connection that the server has closed.
	idleTimeout = 2 * time.Minute
	// DefaultLag is the default delay of usage reports.
	DefaultLag = 2 * time.Second
)

// Server is the stand-in for the lease service of one worker.
//
//	POST /v1/leases            takes a lease; idempotent by its key
//	POST /v1/leases/renew      sets a new expiry of leases and lists those that are not in force
//	POST /v1/leases/end        ends leases
//	POST /v1/leases/VERB       throttles, resumes, checkpoints or stops the task of a lease
//	GET  /v1/usage             reports what each task used one lag earlier
//	POST /faults, GET /counts  for tests
type Server struct {
	lag           time.Duration
	checkpointing bool
	served        *httpd.Server
	done          chan struct{}
	once          sync.Once

	mu     sync.Mutex
	faults faultSettings
	table  leaseTable
}

// Start serves on addr ("IP:PORT", port 0 picks a free one); usage reports are delayed by lag, and checkpointing is whether
// tasks can be checkpointed.
func Start(addr string, lag time.Duration, checkpointing bool) (*Server, error) {
	s := &Server{
		lag: lag, checkpointing: checkpointing, done: make(chan struct{}),
		table: leaseTable{
			leases: map[string]*record{}, live: map[string]*record{},
			counts: counts{Throttled: map[string]int{}, Stopped: map[string]int{}},
		},
	}
	http := &fasthttp.Server{
		Handler: s.handle, Name: "stand-in-leases", IdleTimeout: idleTimeout, MaxRequestBodySize: maxBodyBytes,
		NoDefaultDate: true, CloseOnShutdown: true,
	}
	var err error
	s.served, err = httpd.Start(addr, http)
	if err != nil {
		return nil, err
	}
	return s, nil
}

// Addr returns the address it listens on, as "IP:PORT".
func (s *Server) Addr() string { return s.served.Addr() }

// Close answers the requests in progress and stops the server; its leases are lost.
func (s *Server) Close() error {
	var err error
	s.once.Do(func() {
		close(s.done)
		err = s.served.Close()
	})
	return err
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Method()) + " " + string(ctx.Path()) {
	case "POST /faults":
		s.setFaults(ctx)
		return
	case "GET /counts":
		s.report(ctx)
		return
	}
	if s.applyOutage(ctx) {
		s.serve(ctx)
	}
}

func (s *Server) serve(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Method()) + " " + string(ctx.Path()) {
	case "POST /v1/leases":
		s.take(ctx)
	case "POST /v1/leases/renew":
		s.renew(ctx)
	case "POST /v1/leases/end":
		s.end(ctx)
	case "POST /v1/leases/throttle", "POST /v1/leases/resume", "POST /v1/leases/checkpoint", "POST /v1/leases/stop":
		s.act(ctx, strings.TrimPrefix(string(ctx.Path()), "/v1/leases/"))
	case "GET /v1/usage":
		s.usage(ctx)
	default:
		refuse(ctx, fasthttp.StatusNotFound, "no such path or method")
	}
}

type takenJSON struct {
	lease
	Checkpointing bool `json:"checkpointing"`
}

func (s *Server) take(ctx *fasthttp.RequestCtx) {
	var l lease
	if !decode(ctx, &l) {
		return
	}
	now := time.Now()
	if l.Key == "" || !l.Expires.After(now) {
		refuse(ctx, fasthttp.StatusBadRequest, "a lease has a key and an end to come")
		return
	}
	s.mu.Lock()
	got, ok := s.table.take(l, now)
	s.mu.Unlock()
	if !ok {
		refuse(ctx, fasthttp.StatusGone, "the lease has ended")
		return
	}
	s.answerApplied(ctx, takenJSON{got, s.checkpointing})
}

type keysJSON struct {
	Keys    []string  `json:"keys"`
	Expires time.Time `json:"expires"`
}

type goneJSON struct {
	Gone []string `json:"gone"`
}

func (s *Server) renew(ctx *fasthttp.RequestCtx) {
	var m keysJSON
	if !decode(ctx, &m) {
		return
	}
	s.mu.Lock()
	out := goneJSON{Gone: m.Keys}
	if !s.faults.RefuseRenewals {
		out.Gone = s.table.renew(m.Keys, m.Expires, time.Now())
	}
	s.mu.Unlock()
	s.answerApplied(ctx, out)
}

func (s *Server) end(ctx *fasthttp.RequestCtx) {
	var m keysJSON
	if !decode(ctx, &m) {
		return
	}
	s.mu.Lock()
	s.table.end(m.Keys, time.Now())
	s.mu.Unlock()
	s.answerApplied(ctx, struct{}{})
}

type keyJSON struct {
	Key string `json:"key"`
}

func (s *Server) act(ctx *fasthttp.RequestCtx, verb string) {
	var o keyJSON
	if !decode(ctx, &o) {
		return
	}
	s.mu.Lock()
	s.table.act(verb, o.Key, time.Now())
	s.mu.Unlock()
	s.answerApplied(ctx, struct{}{})
}

type usageJSON struct {
	Usage []usage `json:"usage"`
}

func (s *Server) usage(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	out := usageJSON{s.table.usage(s.faults, s.lag, time.Now())}
	s.mu.Unlock()
	answer(ctx, out)
}

func (s *Server) report(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	s.table.counts.InForce = s.table.countInForce(time.Now())
	data, err := json.Marshal(s.table.counts)
	s.mu.Unlock()
	write(ctx, data, err)
}

// answerApplied answers a request that has taken effect, unless the faults in force drop the answer.
func (s *Server) answerApplied(ctx *fasthttp.RequestCtx, body any) {
	if s.loseAnswer() {
		closeConn(ctx)
		return
	}
	answer(ctx, body)
}

func decode(ctx *fasthttp.RequestCtx, into any) bool {
	d := json.NewDecoder(bytes.NewReader(ctx.PostBody()))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		refuse(ctx, fasthttp.StatusBadRequest, err.Error())
		return false
	}
	return true
}

func answer(ctx *fasthttp.RequestCtx, body any) {
	data, err := json.Marshal(body)
	write(ctx, data, err)
}

func write(ctx *fasthttp.RequestCtx, data []byte, err error) {
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

type refusalJSON struct {
	Reason string `json:"reason"`
}

func refuse(ctx *fasthttp.RequestCtx, status int, reason string) {
	answer(ctx, refusalJSON{Reason: reason})
	ctx.SetStatusCode(status)
}
