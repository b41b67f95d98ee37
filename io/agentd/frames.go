package agentd

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"persimmonstage/io/codec"
	"persimmonstage/io/uptime"
	"persimmonstage/io/wire"
)

var (
	errNothingYet = errors.New("the entry has none yet")
	errUnexpected = errors.New("unexpected message")
)

// frames handles the control frames of the entries.
type frames struct{ d *Daemon }

// Opened does nothing: the link registers a new connection itself.
func (frames) Opened(uint64) {}

// Closed ends the link's session, since its bulk connection is useless without the control connection.
func (f frames) Closed(conn uint64, _ error) {
	f.d.loop.Post(func(time.Time) {
		if l := f.d.linkByConn[conn]; l != nil && l.mux != nil {
			go l.mux.Close()
		}
	})
}

// Received posts a frame to the loop.
func (f frames) Received(conn uint64, fr *wire.Frame) {
	f.d.loop.Post(func(now time.Time) {
		if l := f.d.linkByConn[conn]; l != nil {
			f.d.handleFrame(now, l, fr)
		}
	})
}

func (d *Daemon) handleFrame(now time.Time, l *link, fr *wire.Frame) {
	owner := l.member.Incarnation
	switch m := fr.Body.(type) {
	case *wire.Frame_HelloAnswer:
		l.remote = codec.DecodeIdent(m.HelloAnswer.Self)
	case *wire.Frame_HeartbeatAnswer:
		d.handleHeartbeatAnswer(l, m.HeartbeatAnswer)
	case *wire.Frame_Reserve:
		d.core.Reserve(now, owner, codec.DecodeReserve(m.Reserve))
	case *wire.Frame_Withdraw:
		d.core.Withdraw(now, owner, m.Withdraw.Attempts)
	case *wire.Frame_Probe:
		d.probe(l, m.Probe.Id)
	default:
		d.log.Warn("control connection refused", zap.String("entry", l.member.Name), zap.String("reason", "unexpected frame"))
		d.control.Drop(l.conn)
	}
}

func (d *Daemon) handleHeartbeatAnswer(l *link, a *wire.HeartbeatAnswer) {
	newer := d.fence.AddAnswer(uptime.Now(), l.remote, a.MapVersion, time.Unix(0, a.Stamp))
	if newer {
		d.fetchSoon(l)
	}
	d.config.Hint(a.ConfigVersion)
}

func (d *Daemon) fetchSoon(l *link) {
	mux := l.mux
	if mux == nil {
		return
	}
	go func() {
		if err := d.fetch(context.Background(), mux); err != nil {
			d.log.Info("map not fetched", zap.String("entry", l.member.Name), zap.Error(err))
		}
	}()
}

// probe checks the target's health on its own goroutine and sends the result to the entry.
func (d *Daemon) probe(l *link, id uint64) {
	conn := l.conn
	go func() {
		ok := d.target.Probe() == nil
		d.control.Send(conn, &wire.Frame{Body: &wire.Frame_ProbeAnswer{ProbeAnswer: &wire.ProbeAnswer{Id: id, Ok: ok}}})
	}()
}

// sendHeartbeats sends a heartbeat to every connected entry.
func (d *Daemon) sendHeartbeats(time.Time) {
	stamp := uptime.Stamp()
	for _, l := range d.links {
		if l.conn == 0 {
			continue
		}
		d.control.Send(l.conn, &wire.Frame{Body: &wire.Frame_Heartbeat{Heartbeat: &wire.Heartbeat{
			Stamp: stamp, Leaving: d.core.Leaving(), MapVersion: d.fence.Version(), ConfigVersion: d.configVersion(),
			Loads: codec.EncodeLoads(d.core.LoadOfOthers(l.member.Incarnation)),
		}}})
	}
}

// closeLinks closes the outboxes and stops all links.
func (d *Daemon) closeLinks() {
	for inc, l := range d.links {
		if l.box != nil {
			l.box.Close()
		}
		l.stop()
		delete(d.links, inc)
	}
}
