package schedd

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"persimmonstage/io/pack"
	"persimmonstage/io/wire"
)

// UpdateDocument takes a version of the operators' document from the named source and reports whether it is newer than the current
// one.
func (d *Daemon) UpdateDocument(version int64, data []byte, source string) bool {
	if !d.doc.Update(version, data, source) {
		return false
	}
	d.log.Info("configuration in force", zap.Int64("version", version), zap.String("source", source), zap.Int("bytes", len(data)))
	return true
}

// sendDocument sends an agent the document on request.
func (d *Daemon) sendDocument(l *link) {
	version, data := d.doc.Get()
	if version == 0 {
		return
	}
	m := &wire.Document{Version: version, Data: data}
	if err := d.packer.Pack(m); err != nil {
		d.log.Warn("configuration not sent", zap.String("agent", l.name), zap.String("error", err.Error()))
		return
	}
	d.control.Send(l.conn, &wire.Frame{Body: &wire.Frame_Document{Document: m}})
}

// takeDocument takes the document that an agent has, or has read from the store on request.
func (d *Daemon) takeDocument(now time.Time, l *link, m *wire.Document) {
	d.takeEvacuations(wire.Marks(m.Evacuations), l.name) // before a first configuration, with which jobs are taken
	if m.Version > d.doc.Version() {
		data, err := pack.Data(m)
		switch {
		case err != nil:
			d.log.Warn("configuration not readable", zap.String("agent", l.name), zap.String("error", err.Error()))
		case len(data) > 0:
			d.UpdateDocument(m.Version, data, l.name)
		}
	}
	at := time.Unix(0, m.Stamp)
	if m.Stamp == 0 || at.After(now) || m.Version > d.doc.Version() {
		return
	}
	d.metrics.documentAnswers.Inc()
	d.doc.Confirm(at, now, m.Position)
}

// requestDocument has agents read the document from the store if this entry doesn't get it from there.
func (d *Daemon) requestDocument(now time.Time) {
	received := d.doc.Received()
	if stale := d.relay.Stale(now, received); stale != d.unconfirmed {
		d.unconfirmed = stale
		d.logConfirmation(now, d.doc.Confirmed())
	}
	for _, name := range d.relay.Ask(now, received, func() []string { return slices.Collect(maps.Keys(d.byName)) }) {
		d.metrics.documentRequests.Inc()
		d.control.Send(d.byName[name].conn, &wire.Frame{Body: &wire.Frame_DocumentWant{DocumentWant: &wire.DocumentWant{
			Stamp: now.UnixNano(), Version: d.doc.Version(), Position: d.doc.Position(),
		}}})
	}
}

func (d *Daemon) logConfirmation(now, confirmed time.Time) {
	version := zap.Int64("version", d.doc.Version())
	switch {
	case !d.unconfirmed:
		d.log.Info("configuration confirmed again", version)
	case confirmed.IsZero():
		d.log.Warn("configuration not confirmed", version)
	default:
		d.log.Warn("configuration not confirmed", version, zap.Int64("confirmed-ms", now.Sub(confirmed).Milliseconds()))
	}
}
