package schedd

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"persimmonstage/core/crash"
	"persimmonstage/core/runs"
	"persimmonstage/core/sched"
	"persimmonstage/io/addr"
	"persimmonstage/io/uptime"
	"persimmonstage/io/wire"
)

// link is a connection of an agent or another entry; it is used only on the loop.
type link struct {
	conn          uint64
	name          string // of the agent; empty before its hello
	lastFrame     time.Time
	orders        *wire.RunOrders // to be sent by flush
	heartbeats    int
	cancelledPos  uint64            // up to which the agent has been told of cancelled jobs
	claimsPos     uint64            // the same of claims
	evacuatedPos  uint64            // the same of evacuations
	helloStamp    int64             // the agent's time of its hello
	lastFullState *wire.TargetState // the last one that wasn't brief
}

func (d *Daemon) opened(conn uint64) {
	d.links[conn] = &link{conn: conn, lastFrame: uptime.Now()}
}

func (d *Daemon) closed(conn uint64) {
	if l := d.links[conn]; l != nil {
		d.lost(uptime.Now(), l)
	}
}

// lost removes a connection; attempts on its target may still run until runs.Expiry has passed.
func (d *Daemon) lost(now time.Time, l *link) {
	delete(d.links, l.conn)
	if l.name == "" || d.byName[l.name] != l {
		return
	}
	delete(d.byName, l.name)
	d.targets.Store(int64(len(d.byName)))
	d.sched.Disconnect(l.name, now.Add(runs.Expiry))
	d.log.Warn("agent lost", zap.String("agent", l.name), zap.Int("agents", len(d.byName)))
}

func (d *Daemon) received(conn uint64, f *wire.Frame) {
	l := d.links[conn]
	if l == nil {
		return
	}
	now := uptime.Now()
	l.lastFrame = now
	switch b := f.Body.(type) {
	case *wire.Frame_TargetHello:
		d.hello(now, l, b.TargetHello)
	case *wire.Frame_TargetBeat:
		d.heartbeat(now, l, b.TargetBeat)
	case *wire.Frame_RunReport:
		d.report(now, l, b.RunReport)
	case *wire.Frame_TargetCrash:
		d.targetCrashed(now, l, b.TargetCrash)
	case *wire.Frame_Document:
		d.takeDocument(now, l, b.Document)
	case *wire.Frame_DocumentWant:
		d.sendDocument(l)
	case *wire.Frame_EntryHello:
		if addr.Dialable(b.EntryHello.Address) {
			d.entries[b.EntryHello.Address] = now.Add(entryTTL)
		}
	default:
		d.log.Warn("frame not expected", zap.String("agent", l.name))
	}
}

func (d *Daemon) hello(now time.Time, l *link, h *wire.TargetHello) {
	name, tenure := h.Agent.GetName(), time.Duration(h.TenureMs)*time.Millisecond
	if h.Version != wire.Version || name == "" || tenure > maxTenure || h.State == nil {
		d.log.Warn("agent refused", zap.String("agent", name), zap.Uint32("version", h.Version), zap.Int64("tenure-ms", tenure.Milliseconds()))
		d.control.Drop(l.conn)
		return
	}
	if old := d.byName[name]; old != nil && old != l {
		if h.Stamp < old.helloStamp {
			d.log.Info("agent's hello is outdated", zap.String("agent", name))
			d.control.Drop(l.conn)
			return
		}
		d.control.Drop(old.conn)
		delete(d.links, old.conn)
	}
	l.name, l.helloStamp = name, h.Stamp
	d.byName[name] = l
	d.targets.Store(int64(len(d.byName)))
	d.withdraw(now, h.Cancelled)
	d.receiveClaims(now, h.Claims)
	d.takeEvacuations(wire.Marks(h.Evacuations), name)
	l.evacuatedPos = 0
	inc := string(h.Agent.GetIncarnation())
	open := d.sched.Join(now, name, inc, h.DataCentre, l.targetState(h.State))
	d.control.Send(l.conn, &wire.Frame{Body: &wire.Frame_TargetHelloAnswer{TargetHelloAnswer: &wire.TargetHelloAnswer{
		Entry: &wire.Ident{Name: d.self.Name, Incarnation: []byte(d.self.Incarnation)}, Open: open, DocumentVersion: d.doc.Version(),
		Stamp: h.Stamp, Evacuations: d.evacuations.Since(&l.evacuatedPos), Beside: d.keepsApart,
	}}})
	d.log.Info("agent joined", zap.String("agent", name), zap.String("incarnation", inc), zap.Int("open", len(open)),
		zap.Bool("usable", h.State.Usable), zap.Int("agents", len(d.byName)))
}

// withdraw cancels jobs that callers have cancelled at other entries.
func (d *Daemon) withdraw(now time.Time, ids []string) {
	for _, id := range ids {
		if len(id) <= maxIDBytes && d.cancelled.Add(now, id) {
			d.sched.Withdraw(now, id)
		}
	}
}

// receiveClaims takes the claims that other entries make on jobs.
func (d *Daemon) receiveClaims(now time.Time, list []*wire.JobClaim) {
	for _, m := range list {
		c := m.Claim(now)
		if d.claims.Receive(now, c) {
			d.sched.Claimed(now, c.Job, d.claims.Until(c.Job))
		}
	}
}

// maxIDBytes bounds the id of a cancelled job.
const maxIDBytes = 64

// heartbeat answers an agent's heartbeat with its stamp.
func (d *Daemon) heartbeat(now time.Time, l *link, b *wire.TargetBeat) {
	d.takeEvacuations(wire.Marks(b.Evacuations), l.name) // before the state, with which tasks may be placed
	if b.State != nil && l.name != "" {
		d.sched.UpdateTarget(now, l.name, l.targetState(b.State))
	}
	d.withdraw(now, b.Cancelled)
	d.receiveClaims(now, b.Claims)
	answer := &wire.TargetBeatAnswer{Stamp: b.Stamp, DocumentVersion: d.doc.Version()}
	if l.heartbeats%entryListEvery == 0 {
		answer.Entries = d.entryAddresses()
	}
	l.heartbeats++
	answer.ApartKinds = d.apartKinds()
	if b.Demand != nil && l.name != "" {
		d.sched.FleetDemand(now, l.name, b.Demand.Demand())
	}
	answer.Demand = wire.NewDemand(d.sched.Demand(now))
	answer.Cancelled, l.cancelledPos = d.cancelled.After(now, l.cancelledPos)
	list, pos := d.claims.After(now, l.claimsPos)
	answer.Claims, l.claimsPos = wire.NewClaims(now, list), pos
	answer.Evacuations = d.evacuations.Since(&l.evacuatedPos)
	for _, c := range list {
		if c.Holder == d.holder {
			d.sched.ClaimSent(c.Job)
		}
	}
	d.control.Send(l.conn, &wire.Frame{Body: &wire.Frame_TargetBeatAnswer{TargetBeatAnswer: answer}})
}

// entryAddresses returns the addresses of this entry and of those that have announced themselves within entryTTL.
func (d *Daemon) entryAddresses() []string {
	now := uptime.Now()
	list := []string{d.cfg.Address}
	for addr, until := range d.entries {
		if now.After(until) {
			delete(d.entries, addr)
			continue
		}
		list = append(list, addr)
	}
	slices.Sort(list[1:])
	return list
}

func (d *Daemon) report(now time.Time, l *link, r *wire.RunReport) {
	if l.name == "" {
		return
	}
	if r.State != nil {
		d.sched.UpdateTarget(now, l.name, l.targetState(r.State))
	}
	for _, e := range r.Ends {
		d.metrics.ends.WithLabelValues(endLabel(e.How)).Inc()
		if d.keepsApart && e.How == sched.EndDone {
			d.sched.Measured(l.name, e.Attempt, time.Duration(e.RanMs)*time.Millisecond, shares(e))
		}
		d.sched.Ended(now, l.name, e.Attempt, e.How)
	}
	for _, f := range r.Forecasts {
		d.sched.Forecast(now, l.name, f.Attempt, time.Duration(f.LeftMs)*time.Millisecond)
	}
}

func (d *Daemon) targetCrashed(now time.Time, l *link, m *wire.TargetCrash) {
	if l.name == "" {
		return
	}
	report := &crash.Report{ID: m.Stamp, At: now.Add(-time.Duration(m.AgeMs) * time.Millisecond)}
	for _, t := range m.Tasks {
		report.Tasks = append(report.Tasks, crash.Task{Name: t.Task, Route: t.Route, Ran: time.Duration(t.RanMs) * time.Millisecond})
	}
	d.sched.Crashed(now, l.name, report)
}

// endLabel returns the metric label for how an attempt ended; unknown values become "other", which bounds the cardinality.
func endLabel(how string) string {
	switch how {
	case sched.EndDone, sched.EndFailed, sched.EndStopped, sched.EndLapsed, sched.EndNoRoom, sched.EndRefused, sched.EndUnknown, sched.EndCrashed:
		return how
	}
	return "other"
}

// maxCapacity bounds a reported capacity, in thousandths of a core or MB, so that sums over all targets don't overflow. It is above
// what an agent accepts from its target.
const maxCapacity = 1 << 40

// targetState converts a reported state; the fields that a brief state omits are taken from the last full one.
func (l *link) targetState(s *wire.TargetState) sched.TargetState {
	const permille, eighths = 1000, 8
	if !s.Brief {
		l.lastFullState = s
	}
	full := l.lastFullState
	return sched.TargetState{
		Service: full.GetService(), DataCentre: full.GetDataCentre(), Labels: full.GetLabels(), Process: full.GetProcess(),
		Millicores: min(full.GetMillicores(), maxCapacity), MemoryMB: min(full.GetMemoryMb(), maxCapacity),
		UsedMillicores: min(s.UsedMillicores, maxCapacity), UsedMemoryMB: min(s.UsedMemoryMb, maxCapacity),
		Usable: s.Usable, Held: s.Held, Pace: float64(max(1, s.PacePermille)) / permille, Seen: s.Seen,
		Failing: float64(min(s.FailingEighths, eighths)) / eighths, Beside: kinds(s.Beside),
	}
}
