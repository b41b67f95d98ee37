package entryd

import (
	"context"
	"encoding/json"
	"sort"
	"time"

	"github.com/valyala/fasthttp"

	"persimmonstage/core/needs"
	"persimmonstage/core/target"
	"persimmonstage/io/days"
)

const stateTimeout = 2 * time.Second

// state is the dump of the entry's whole state.
type state struct {
	Name        string          `json:"name"`
	Incarnation string          `json:"incarnation"`
	DataCentre  string          `json:"data-centre"`
	Draining    bool            `json:"draining"`
	Map         json.RawMessage `json:"map"`
	MapVersion  int64           `json:"map-version"`
	Config      int64           `json:"config-version"`
	Jobs        jobsState       `json:"jobs"`
	Unreachable []string        `json:"data-centres-not-reached,omitempty"`
	Targets     []targetState   `json:"targets"`
}

type jobsState struct {
	Running    int `json:"running"`
	Remembered int `json:"remembered"`
	Overdue    int `json:"past-deadline"`
}

type targetState struct {
	Name        string       `json:"name"`
	Incarnation string       `json:"incarnation"`
	DataCentre  string       `json:"data-centre"`
	Rack        string       `json:"rack,omitempty"`
	Usable      bool         `json:"usable"`
	Out         string       `json:"out,omitempty"`
	Free        needs.Vector `json:"free"`
	InFlight    int          `json:"in-flight"`
	Factor      float64      `json:"run-time-factor"`
}

func (d *Daemon) admin(ctx *fasthttp.RequestCtx, what string) {
	if reason := d.operator(ctx); reason != "" && what != "config" {
		d.refuse(ctx, fasthttp.StatusUnauthorized, reason)
		return
	}
	switch what {
	case "config":
		d.adminConfig(ctx)
	case "report":
		d.days.Handle(ctx, days.JSON)
	case "teams":
		d.adminTeams(ctx)
	case "retire":
		d.adminRetire(ctx)
	case "state":
		d.adminState(ctx)
	case "targets":
		d.adminTargets(ctx)
	default:
		ctx.Error("no such path\n", fasthttp.StatusNotFound)
	}
}

func (d *Daemon) adminState(ctx *fasthttp.RequestCtx) {
	bounded, cancel := context.WithTimeout(context.Background(), stateTimeout)
	defer cancel()
	body, err := d.State(bounded)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetContentType(jsonType)
	ctx.SetBody(body)
}

// State returns the whole state as JSON.
func (d *Daemon) State(ctx context.Context) ([]byte, error) {
	s := state{
		Name: d.self.Name, Incarnation: d.self.Incarnation, DataCentre: d.self.DataCentre, Draining: d.draining.Load(),
		MapVersion: d.mapVersion(), Config: d.configVersion(),
	}
	if m := d.view.Load().shards; m != nil {
		data, err := json.Marshal(m)
		if err != nil {
			return nil, err
		}
		s.Map = data
	}
	ran := d.loop.Call(ctx, func(now time.Time) {
		s.Jobs = jobsState{Running: d.owner.Running(), Remembered: d.owner.RecordCount(), Overdue: d.owner.Overdue(now)}
		s.Unreachable = d.reach.Unreachable()
		s.Targets = d.targets()
	})
	if !ran {
		return nil, context.DeadlineExceeded
	}
	return json.MarshalIndent(s, "", "  ")
}

func (d *Daemon) targets() []targetState {
	out := make([]targetState, 0, len(d.agents.byTarget))
	for id, l := range d.agents.byTarget {
		out = append(out, targetState{
			Name: l.who.Name, Incarnation: l.who.Incarnation, DataCentre: d.roster.DataCentre(id), Rack: d.roster.Rack(id),
			Usable: d.roster.Usable(id), Out: d.outReason(id, l), Free: d.roster.Free(id), InFlight: d.roster.InFlight(id), Factor: d.speeds.Factor(id),
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// outReason returns why a target gets no work, or an empty string if it may get work.
func (d *Daemon) outReason(id target.ID, l *agentLink) string {
	if l.leaving {
		return "leaving"
	}
	switch {
	case l.drained && d.rules.Load().Evacuated(l.hello.DataCentre):
		return "evacuated"
	case l.drained:
		return "drained"
	}
	reason, _ := d.detector.Out(id)
	return reason
}

// teamState is a team's weight and quotas.
type teamState struct {
	Name    string `json:"name"`
	Weight  int    `json:"weight"`
	Starts  int    `json:"quota-starts-per-second,omitempty"`
	Running int    `json:"quota-running,omitempty"`
}

func (d *Daemon) adminTeams(ctx *fasthttp.RequestCtx) {
	r := d.rules.Load()
	all := make([]teamState, 0, len(r.Teams()))
	for _, name := range r.Teams() {
		t := teamState{Name: name, Weight: r.TeamWeight(name)}
		t.Starts, _ = r.QuotaStarts(name)
		t.Running, _ = r.QuotaRunning(name)
		all = append(all, t)
	}
	sendJSON(ctx, all)
}

func sendJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType(jsonType)
	ctx.SetBody(body)
}

func (d *Daemon) adminTargets(ctx *fasthttp.RequestCtx) {
	bounded, cancel := context.WithTimeout(context.Background(), stateTimeout)
	defer cancel()
	var all []targetState
	if !d.loop.Call(bounded, func(time.Time) { all = d.targets() }) {
		ctx.Error("busy\n", fasthttp.StatusServiceUnavailable)
		return
	}
	sendJSON(ctx, all)
}

// Targets returns the number of targets that can get work now.
func (d *Daemon) Targets(ctx context.Context) int {
	n := 0
	d.loop.Call(ctx, func(time.Time) {
		for id := range d.agents.byTarget {
			if d.roster.Usable(id) {
				n++
			}
		}
	})
	return n
}
