package agentd

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"go.uber.org/zap"

	"persimmonstage/core/agent"
	"persimmonstage/core/intake"
	"persimmonstage/io/guard"
	"persimmonstage/io/uptime"
)

const stateTimeout = 2 * time.Second

// metrics holds the agent's metrics.
type metrics struct {
	registry *prometheus.Registry
	starts   prometheus.Counter
	refusals prometheus.Counter
}

func newMetrics(d *Daemon, r *prometheus.Registry) *metrics {
	m := &metrics{
		registry: r,
		starts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "persimmonstage_agent_starts_total", Help: "Tasks sent to the target.",
		}),
		refusals: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "persimmonstage_agent_refusals_total", Help: "Attempts refused before their start.",
		}),
	}
	r.MustRegister(m.starts, m.refusals,
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "persimmonstage_control_bytes_total", Help: "Bytes on control connections, both ways.",
		}, func() float64 {
			in, out := d.control.Bytes()
			return float64(in + out)
		}))
	return m
}

// state is the dump of the agent's whole state.
type state struct {
	Name        string          `json:"name"`
	Incarnation string          `json:"incarnation"`
	DataCentre  string          `json:"data-centre"`
	Leaving     bool            `json:"leaving"`
	MapVersion  int64           `json:"map-version"`
	Config      int64           `json:"config-version"`
	Answered    int             `json:"members-heard"`
	Entries     []entryState    `json:"entries"`
	Ledger      ledgerState     `json:"ledger"`
	Agent       *agent.Snapshot `json:"tasks"`
}

type entryState struct {
	Name      string `json:"name"`
	Connected bool   `json:"connected"`
}

type ledgerState struct {
	Starts int       `json:"starts"`
	Bytes  int       `json:"result-bytes"`
	Since  time.Time `json:"since"`
}

// State returns the whole state as JSON.
func (d *Daemon) State(ctx context.Context) ([]byte, error) {
	s := state{
		Name: d.self.Name, Incarnation: d.self.Incarnation, DataCentre: d.set.DataCentre,
		Leaving: d.draining.Load(),
	}
	ran := d.loop.Call(ctx, func(now time.Time) {
		s.MapVersion, s.Config = d.fence.Version(), d.configVersion()
		s.Answered = d.fence.Answered(uptime.Now())
		for _, l := range d.links {
			s.Entries = append(s.Entries, entryState{Name: l.member.Name, Connected: l.box != nil})
		}
		s.Ledger = ledgerState{Starts: d.ledger.Starts(), Bytes: d.ledger.Bytes(), Since: d.ledger.Since()}
		s.Agent = d.core.Snapshot(now)
	})
	if !ran {
		return nil, context.DeadlineExceeded
	}
	return json.MarshalIndent(s, "", "  ")
}

const (
	// requestTimeout bounds the time for a request, which has no body.
	requestTimeout = 5 * time.Second
	idleTimeout    = 75 * time.Second
	// maxConns bounds the connections of probes and operators. The oldest that waits for a request is closed for a new one.
	maxConns = 16
)

func (d *Daemon) serveHTTP() {
	prom := fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(d.metrics.registry, promhttp.HandlerOpts{}))
	server := &fasthttp.Server{
		NoDefaultServerHeader: true, Logger: zap.NewStdLog(d.log),
		ReadTimeout: requestTimeout, IdleTimeout: idleTimeout,
	}
	server.Handler = func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case "/healthz":
			ctx.SetBodyString("ok\n")
		case "/readyz":
			d.readyz(ctx)
		case "/metrics":
			prom(ctx)
		case "/v1/admin/state":
			d.stateHTTP(ctx)
		default:
			ctx.Error("no such path\n", fasthttp.StatusNotFound)
		}
	}
	guard.Attach(server)
	g := guard.New("http", intake.Limits{Conns: maxConns}, d.log)
	g.Register(d.metrics.registry)
	if err := server.Serve(g.Listener(d.web)); err != nil {
		d.log.Info("http ended", zap.Error(err))
	}
}

func (d *Daemon) readyz(ctx *fasthttp.RequestCtx) {
	if d.draining.Load() || !d.ready.Load() {
		ctx.Error("not ready\n", fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString("ready\n")
}

// operator reports whether the state may be shown: to operators once a configuration is known, and before that to anybody, so
// that an agent which can't reach any entry can be inspected.
func (d *Daemon) operator(ctx *fasthttp.RequestCtx) bool {
	version, r := d.config.Current()
	if version == 0 {
		return true
	}
	token, _ := strings.CutPrefix(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	_, ok := r.Operator(token)
	return ok
}

func (d *Daemon) stateHTTP(ctx *fasthttp.RequestCtx) {
	if !d.operator(ctx) {
		ctx.Error("Authorization: an operator's token is required\n", fasthttp.StatusUnauthorized)
		return
	}
	bounded, cancel := context.WithTimeout(context.Background(), stateTimeout)
	defer cancel()
	body, err := d.State(bounded)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
