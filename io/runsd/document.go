package runsd

import (
	"time"

	"go.uber.org/zap"

	"persimmonstage/io/pack"
	"persimmonstage/io/uptime"
	"persimmonstage/io/wire"
)

// storeSource names the store as the source of a configuration in logs.
const storeSource = "store"

// documents reads the operators' document from the store.
type documents interface {
	// Latest returns the version that was the newest when it was called, and the position in the store up to which it is that.
	Latest() (version int64, data []byte, position int64, err error)
}

// documentRequest is an entry's request to read the operators' document from the store.
type documentRequest struct {
	conn uint64
	want *wire.DocumentWant
}

// updateDocument takes a version of the operators' document from the named source.
func (d *Daemon) updateDocument(version int64, data []byte, source string) {
	if d.doc.Update(version, data, source) {
		d.log.Info("configuration taken", zap.Int64("version", version), zap.String("source", source))
	}
}

// fetch requests a newer document from an entry when a request is due.
func (d *Daemon) fetch(now time.Time) {
	l := d.links[d.spread.Next(now, d.doc.Version())]
	if l != nil && l.conn != 0 {
		d.control.Send(l.conn, &wire.Frame{Body: &wire.Frame_DocumentWant{DocumentWant: &wire.DocumentWant{}}})
	}
}

// readDocument reads the document from the store if entries have requested it and no read is under way.
func (d *Daemon) readDocument(now time.Time) {
	list := d.documentRequests.Start(now)
	if len(list) == 0 {
		return
	}
	go func() {
		version, data, position, err := d.documents.Latest()
		d.loop.Post(func(time.Time) { d.documentRead(list, version, data, position, err) })
	}()
}

// documentRead processes the result of a read and answers the requests for it.
func (d *Daemon) documentRead(list []*documentRequest, version int64, data []byte, position int64, err error) {
	d.documentRequests.Done(uptime.Now())
	if err != nil {
		d.metrics.documentReads.WithLabelValues("failed").Inc()
		return
	}
	d.metrics.documentReads.WithLabelValues("answered").Inc()
	d.updateDocument(version, data, storeSource)
	for _, r := range list {
		d.sendDocument(r.conn, d.documentFor(r.want, position))
	}
}

// sendDocument sends a document to an entry, unless it is too large.
func (d *Daemon) sendDocument(conn uint64, m *wire.Document) {
	if err := d.packer.Pack(m); err != nil {
		d.log.Warn("configuration not sent", zap.String("error", err.Error()))
		return
	}
	d.control.Send(conn, &wire.Frame{Body: &wire.Frame_Document{Document: m}})
}

// takeDocument takes a document that an entry has sent.
func (d *Daemon) takeDocument(m *wire.Document, entry string) {
	if m.Version <= d.doc.Version() {
		return
	}
	data, err := pack.Data(m)
	if err != nil {
		d.log.Warn("configuration not readable", zap.String("entry", entry), zap.String("error", err.Error()))
		return
	}
	d.updateDocument(m.Version, data, entry)
}

// documentFor returns the answer to an entry's request after a read up to a position of the store: the document if the entry lacks
// it, and the request's stamp as a confirmation unless the entry had read further itself.
func (d *Daemon) documentFor(want *wire.DocumentWant, position int64) *wire.Document {
	version, data := d.doc.Get()
	m := &wire.Document{Version: version, Position: position, Evacuations: d.evacuations.Since(new(uint64))}
	if version > want.Version {
		m.Data = data
	}
	if position >= want.Position {
		m.Stamp = want.Stamp
	}
	return m
}
