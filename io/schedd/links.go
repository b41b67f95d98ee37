package schedd

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"persimmonstage/core/sched"
	"persimmonstage/io/uptime"
	"persimmonstage/io/wire"
)

// link is a connection; the loop owns its fields.
type link struct {
	conn   uint64
	name   string // of the agent, empty before its hello
	heard  time.Time
	orders *wire.RunOrders // that wait for the end of the posted steps
	beats  int
	told   *wire.TargetState // the last one that was whole
}

func (d *Daemon) opened(conn uint64) {
	d.links[conn] = &link{conn: conn, heard: uptime.Now()}
}

func (d *Daemon) closed(conn uint64) {
	if l := d.links[conn]; l != nil {
		d.lost(uptime.Now(), l)
	}
}

// lost forgets a connection; what its agent runs may go on for a while.
func (d *Daemon) lost(now time.Time, l *link) {
	delete(d.links, l.conn)
	if l.name == "" || d.byName[l.name] != l {
		return
	}
	delete(d.byName, l.name)
	d.targets.Store(int64(len(d.byName)))
	d.sched.Disconnect(l.name, now.Add(deadAfter))
	d.log.Warn("agent lost", zap.String("agent", l.name), zap.Int("agents", len(d.byName)))
}

func (d *Daemon) framed(conn uint64, f *wire.Frame) {
	l := d.links[conn]
	if l == nil {
		return
	}
	now := uptime.Now()
	l.heard = now
	switch b := f.Body.(type) {
	case *wire.Frame_TargetHello:
		d.hello(now, l, b.TargetHello)
	case *wire.Frame_TargetBeat:
		d.beat(now, l, b.TargetBeat)
	case *wire.Frame_RunReport:
		d.report(now, l, b.RunReport)
	case *wire.Frame_Document:
		d.UpdateDocument(b.Document.Version, b.Document.Data)
	case *wire.Frame_DocumentWant:
		d.sendDocument(l)
	case *wire.Frame_EntryHello:
		d.entries[b.EntryHello.Address] = now.Add(passOn)
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
		d.control.Drop(old.conn)
		delete(d.links, old.conn)
	}
	l.name = name
	d.byName[name] = l
	d.targets.Store(int64(len(d.byName)))
	inc := string(h.Agent.GetIncarnation())
	open := d.sched.Join(now, name, inc, h.DataCentre, l.stateIn(h.State))
	d.control.Send(l.conn, &wire.Frame{Body: &wire.Frame_TargetHelloAnswer{TargetHelloAnswer: &wire.TargetHelloAnswer{
		Entry: &wire.Ident{Name: d.self.Name, Incarnation: []byte(d.self.Incarnation)}, Open: open, DocumentVersion: d.doc.Version(),
		Stamp: h.Stamp,
	}}})
	d.log.Info("agent joined", zap.String("agent", name), zap.String("incarnation", inc), zap.Int("open", len(open)),
		zap.Bool("usable", h.State.Usable), zap.Int("agents", len(d.byName)))
}

// beat returns a heartbeat's stamp.
func (d *Daemon) beat(now time.Time, l *link, b *wire.TargetBeat) {
	if b.State != nil && l.name != "" {
		d.sched.UpdateTarget(now, l.name, l.stateIn(b.State))
	}
	answer := &wire.TargetBeatAnswer{Stamp: b.Stamp, DocumentVersion: d.doc.Version()}
	if l.beats%listEvery == 0 {
		answer.Entries = d.known()
	}
	l.beats++
	d.control.Send(l.conn, &wire.Frame{Body: &wire.Frame_TargetBeatAnswer{TargetBeatAnswer: answer}})
}

// sendDocument sends an agent the document that it asked for.
func (d *Daemon) sendDocument(l *link) {
	version, data := d.doc.Get()
	if version > 0 {
		d.control.Send(l.conn, &wire.Frame{Body: &wire.Frame_Document{Document: &wire.Document{Version: version, Data: data}}})
	}
}

// known returns the addresses of entries that agents are told: this one's and those that have greeted it lately.
func (d *Daemon) known() []string {
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
		d.sched.UpdateTarget(now, l.name, l.stateIn(r.State))
	}
	for _, e := range r.Ends {
		d.metrics.ends.WithLabelValues(endLabel(e.How)).Inc()
		d.sched.Ended(now, l.name, e.Attempt, e.How)
	}
	for _, f := range r.Forecasts {
		d.sched.Forecast(now, l.name, f.Attempt, time.Duration(f.LeftMs)*time.Millisecond)
	}
}

// endLabel bounds the values of the metrics' label.
func endLabel(how string) string {
	switch how {
	case sched.EndDone, sched.EndFailed, sched.EndStopped, sched.EndLapsed, sched.EndNoRoom, sched.EndRefused, sched.EndUnknown:
		return how
	}
	return "other"
}

// stateIn returns what an agent tells of its target, with what a brief word leaves out.
func (l *link) stateIn(s *wire.TargetState) sched.TargetState {
	const permille = 1000
	if !s.Brief {
		l.told = s
	}
	whole := l.told
	return sched.TargetState{
		Service: whole.GetService(), Millicores: whole.GetMillicores(), MemoryMB: whole.GetMemoryMb(), Labels: whole.GetLabels(),
		UsedMillicores: s.UsedMillicores, UsedMemoryMB: s.UsedMemoryMb,
		Usable: s.Usable, Held: s.Held, Pace: float64(max(1, s.PacePermille)) / permille, Seen: s.Seen,
	}
}

// UpdateDocument takes a version of the operators' document from anywhere and reports whether it is newer than the one in force.
func (d *Daemon) UpdateDocument(version int64, data []byte) bool {
	if !d.doc.Update(version, data) {
		return false
	}
	d.log.Info("configuration in force", zap.Int64("version", version), zap.Int("bytes", len(data)))
	return true
}
