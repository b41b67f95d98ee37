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

// frames takes the control frames of the entries.
type frames struct{ d *Daemon }

// Opened is called on a new connection; the link registers it.
func (frames) Opened(uint64) {}

// Closed ends the link's session, whose bulk connection is useless without its control connection.
func (f frames) Closed(conn uint64, _ error) {
	f.d.loop.Post(func(time.Time) {
		if l := f.d.conns[conn]; l != nil && l.mux != nil {
			go l.mux.Close()
		}
	})
}

// Framed posts a frame to the loop.
func (f frames) Framed(conn uint64, fr *wire.Frame) {
	f.d.loop.Post(func(now time.Time) {
		if l := f.d.conns[conn]; l != nil {
			f.d.framed(now, l, fr)
		}
	})
}

func (d *Daemon) framed(now time.Time, l *link, fr *wire.Frame) {
	owner := l.member.Incarnation
	switch m := fr.Body.(type) {
	case *wire.Frame_HelloAnswer:
		l.answers = codec.IdentIn(m.HelloAnswer.Self)
	case *wire.Frame_HeartbeatAnswer:
		d.answered(l, m.HeartbeatAnswer)
	case *wire.Frame_Reserve:
		d.core.Reserve(now, owner, codec.ReserveIn(m.Reserve))
	case *wire.Frame_Withdraw:
		d.core.Withdraw(now, owner, m.Withdraw.Attempts)
	case *wire.Frame_Probe:
		d.probe(l, m.Probe.Id)
	default:
		d.log.Warn("control connection refused", zap.String("entry", l.member.Name), zap.String("reason", "unexpected frame"))
		d.control.Drop(l.conn)
	}
}

func (d *Daemon) answered(l *link, a *wire.HeartbeatAnswer) {
	newer := d.fence.AddAnswer(uptime.Now(), l.answers, a.MapVersion, time.Unix(0, a.Stamp))
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

// probe asks the target whether it is well, off the loop.
func (d *Daemon) probe(l *link, id uint64) {
	conn := l.conn
	go func() {
		ok := d.target.Probe() == nil
		d.control.Send(conn, &wire.Frame{Body: &wire.Frame_ProbeAnswer{ProbeAnswer: &wire.ProbeAnswer{Id: id, Ok: ok}}})
	}()
}

// beat sends a heartbeat to every connected entry.
func (d *Daemon) beat(time.Time) {
	stamp := uptime.Stamp()
	for _, l := range d.links {
		if l.conn == 0 {
			continue
		}
		d.control.Send(l.conn, &wire.Frame{Body: &wire.Frame_Heartbeat{Heartbeat: &wire.Heartbeat{
			Stamp: stamp, Leaving: d.core.Leaving(), MapVersion: d.fence.Version(), ConfigVersion: d.configVersion(),
			Loads: codec.LoadsOut(d.core.LoadOfOthers(l.member.Incarnation)),
		}}})
	}
}

// goodbye ends the links after what was put before.
func (d *Daemon) goodbye() {
	for inc, l := range d.links {
		if l.box != nil {
			l.box.Close()
		}
		l.stop()
		delete(d.links, inc)
	}
}
