package entryd

import (
	"context"
	"math/rand/v2"
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"persimmonstage/core/admit"
	"persimmonstage/core/cause"
	"persimmonstage/core/rules"
	"persimmonstage/io/bulk"
	"persimmonstage/io/conf"
	"persimmonstage/io/confap"
	"persimmonstage/io/frame"
	"persimmonstage/io/wire"
)

// configStream is the stream of the platform's log that holds the operators' configuration.
const configStream = "configuration"

// newSource returns the follower of the operators' configuration, which reads it from the log and from peers.
func (d *Daemon) newSource() *conf.Source {
	return conf.New(conf.Options{
		Log: d.logs, Stream: configStream, Peers: configPeers{d}, Self: d.self.Name, Deliver: d.applyConfig,
		RetainCount: int64(d.set.Retention.ConfigRecords),
		RetainAge:   time.Duration(d.set.Retention.ConfigMinutes) * time.Minute,
	})
}

// configPeers fetches the configuration from a connected entry, chosen at random each time.
type configPeers struct{ d *Daemon }

var errNoPeer = errors.New("no other entry is connected")

// Config fetches from one peer what a process at the given version lacks.
func (c configPeers) Config(ctx context.Context, version int64) ([]byte, error) {
	c.d.mu.RLock()
	list := make([]*bulk.Mux, 0, len(c.d.peerMuxes))
	for _, m := range c.d.peerMuxes {
		list = append(list, m)
	}
	c.d.mu.RUnlock()
	if len(list) == 0 {
		return nil, errNoPeer
	}
	got, err := list[rand.IntN(len(list))].Fetch(ctx, bulk.FetchConfig, version)
	if err != nil {
		return nil, err
	}
	return got.GetData(), nil
}

// applyConfig puts a version of the configuration into force.
func (d *Daemon) applyConfig(version int64, r *rules.Rules) {
	lim := *d.limits.Load()
	lim.BodyBytes, lim.HeaderBytes = r.BodyBytes(), r.HeaderBytes()
	lim.PayloadBytes, lim.TasksPerJob = r.PayloadBytes(), r.TasksPerJob()
	now := time.Now()
	lim.MaxDeadline, lim.IssuedSkew = r.LatestDeadline(now).Sub(now), r.LatestIssued(now).Sub(now)
	d.limits.Store(&lim)
	before := d.rules.Swap(r)
	d.log.Info("configuration in force", zap.Int64("version", version))
	d.loop.Post(func(now time.Time) {
		d.applyRules(r, before)
		d.recordDrains(now, r, before)
		d.recordEvent(now, cause.ConfigApplied, strconv.FormatInt(version, 10))
	})
}

// applyRules sets the teams' weights, quotas and expected run times; settings that only the previous rules had return to their
// defaults. Quotas are divided by the number of members of the map, so they are applied again when that changes.
func (d *Daemon) applyRules(r, before *rules.Rules) {
	d.retries.SetShare(r.RetryShare())
	members := 1
	if m := d.group.Map(); m != nil {
		members = max(m.Size(), 1)
	}
	for _, team := range r.TeamsInEither(before) {
		d.gate.SetWeight(team, "", int64(r.TeamWeight(team)))
		var q admit.Quota
		if n, ok := r.QuotaStarts(team); ok {
			q.Starts = float64(n) / float64(members)
		}
		if n, ok := r.QuotaRunning(team); ok {
			q.Running = int64((n + members - 1) / members)
		}
		d.gate.SetQuota(team, q)
		for _, kind := range r.KindsInEither(before, team) {
			d.gate.SetWeight(team, kind, int64(r.KindWeight(team, kind)))
			expected, _ := r.ExpectedRunTime(team, kind)
			d.owner.SetExpectedRun(team, kind, expected)
		}
	}
	for _, l := range d.agents.byTarget {
		d.applyDrain(l)
	}
}

// applyDrain takes a target out of placement while the configuration drains it or its host, or evacuates its data centre.
func (d *Daemon) applyDrain(l *agentLink) {
	drained := d.rules.Load().Drained(l.who.Name, l.hello.Host, l.hello.DataCentre)
	if drained != l.drained {
		l.drained = drained
		d.roster.Drain(l.id, drained)
	}
}

// openAccess reports whether requests need no token, which the settings can allow until a configuration is published.
func (d *Daemon) openAccess() bool {
	return d.set.Access == "open" && !d.config.Ready()
}

func bearer(ctx *fasthttp.RequestCtx) string {
	token, _ := strings.CutPrefix(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	return token
}

// authorize checks a caller's token against the team's tokens; status 0 means authorized.
func (d *Daemon) authorize(ctx *fasthttp.RequestCtx, team string) (status int, reason string) {
	token := bearer(ctx)
	switch {
	case d.openAccess(), d.rules.Load().CallerAllowed(team, token):
		return 0, ""
	case !d.config.Ready():
		return fasthttp.StatusServiceUnavailable, "no configuration has been published yet"
	case token == "":
		return fasthttp.StatusUnauthorized, "Authorization: a token of team " + team + " is required"
	}
	return fasthttp.StatusForbidden, "Authorization: not a token of team " + team
}

// operator checks an operator's token; an empty reason means authorized.
func (d *Daemon) operator(ctx *fasthttp.RequestCtx) (reason string) {
	if d.openAccess() {
		return ""
	}
	if _, ok := d.rules.Load().Operator(bearer(ctx)); ok {
		return ""
	}
	return "Authorization: an operator's token is required"
}

func (d *Daemon) adminConfig(ctx *fasthttp.RequestCtx) {
	bootstrap := d.set.Bootstrap
	if d.set.Access == "open" {
		bootstrap = confap.OpenBootstrap
	}
	query, err := url.ParseQuery(string(ctx.QueryArgs().QueryString()))
	if err != nil {
		d.refuse(ctx, fasthttp.StatusBadRequest, "query: "+err.Error())
		return
	}
	document, ok := d.body(ctx, confap.MaxBodyBytes)
	if !ok {
		return
	}
	bounded, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	status, body := confap.New(publisher{d.config, d}, bootstrap).Serve(bounded, string(ctx.Method()), query, bearer(ctx), document)
	ctx.SetStatusCode(status)
	ctx.SetContentType(jsonType)
	ctx.SetBody(body)
}

const publishTimeout = 15 * time.Second

func (d *Daemon) configVersion() int64 {
	version, _ := d.config.Current()
	return version
}

// serveConfig sends what a process at the requested version lacks.
func (d *Daemon) serveConfig(request *wire.Fetch, s net.Conn) {
	_ = frame.Write(s, &wire.Bulk{Body: &wire.Bulk_Fetched{Fetched: &wire.Fetched{
		Version: d.configVersion(), Data: d.config.Since(request.Version),
	}}})
}
