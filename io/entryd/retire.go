package entryd

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"persimmonstage/core/ident"
	"persimmonstage/io/uptime"
)

// maxRetireBytes bounds the body of a retirement.
const maxRetireBytes = 1024

// retirement is an operator's declaration that an entry is dead and won't come back.
type retirement struct {
	Entry string `json:"entry"`
}

// adminRetire removes an entry that an operator declares dead. It refuses an entry that is still alive, since its shards would
// get a second owner.
func (d *Daemon) adminRetire(ctx *fasthttp.RequestCtx) {
	if !ctx.IsPost() {
		ctx.Response.Header.Set(fasthttp.HeaderAllow, fasthttp.MethodPost)
		d.refuse(ctx, fasthttp.StatusMethodNotAllowed, "method: "+string(ctx.Method())+" is not allowed, limit POST")
		return
	}
	body, ok := d.body(ctx, maxRetireBytes)
	if !ok {
		return
	}
	r, fault := readRetirement(body)
	if fault != "" {
		d.refuse(ctx, fasthttp.StatusBadRequest, fault)
		return
	}
	status, reason := d.retire(r.Entry)
	if status != fasthttp.StatusOK {
		d.refuse(ctx, status, reason)
		return
	}
	operator, _ := d.rules.Load().Operator(bearer(ctx))
	d.log.Warn("entry retired", zap.String("entry", r.Entry), zap.String("operator", operator))
	sendJSON(ctx, r)
}

func readRetirement(body []byte) (r retirement, fault string) {
	if len(body) > maxRetireBytes {
		return r, "body: too large, limit 1024 bytes"
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&r); err != nil {
		return r, "body: " + err.Error()
	}
	if r.Entry == "" {
		return r, "entry: missing"
	}
	return r, ""
}

func (d *Daemon) retire(name string) (status int, reason string) {
	bounded, cancel := context.WithTimeout(context.Background(), stateTimeout)
	defer cancel()
	alive, known := false, false
	ran := d.loop.Call(bounded, func(time.Time) {
		alive = slices.ContainsFunc(d.group.Alive(uptime.Now()), func(id ident.Ident) bool { return id.Name == name && id != d.ident() })
		known = !alive && d.group.Retire(name)
		alive = alive || !known && name == d.self.Name
	})
	switch {
	case !ran:
		return fasthttp.StatusServiceUnavailable, "busy: not known whether it was retired, send it again"
	case alive:
		return fasthttp.StatusConflict, "entry: " + name + " is alive; stop it first"
	case !known:
		return fasthttp.StatusNotFound, "entry: " + name + " is not known here"
	}
	return fasthttp.StatusOK, ""
}
