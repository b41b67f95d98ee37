package runsd

import (
	"time"

	"go.uber.org/zap"

	"persimmonstage/io/uptime"
	"persimmonstage/io/wire"
)

// storeSource names the store as the source of a configuration in logs.
const storeSource = "store"

// documents reads the operators' document from the store.
type documents interface {
	// Latest returns the newest version of the document and the position in the store up to which it is known to be that, -1 if
	// there may be a newer one before.
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
		d.loop.Post(func(time.Time) {
			d.documentRequests.Done(uptime.Now())
			if err != nil {
				d.metrics.documentReads.WithLabelValues("failed").Inc()
				return
			}
			d.metrics.documentReads.WithLabelValues("answered").Inc()
			d.updateDocument(version, data, storeSource)
			d.answerRequests(list, position)
		})
	}()
}

// answerRequests sends the entries that requested it the newest document, as confirmed by a read up to a position of the store.
func (d *Daemon) answerRequests(list []*documentRequest, position int64) {
	version, data := d.doc.Get()
	for _, r := range list {
		m := &wire.Document{Version: version, Position: position}
		if version > r.want.Version {
			m.Data = data
		}
		if position >= r.want.Position {
			m.Stamp = r.want.Stamp
		}
		d.control.Send(r.conn, &wire.Frame{Body: &wire.Frame_Document{Document: m}})
	}
}
