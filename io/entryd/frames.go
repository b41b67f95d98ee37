package entryd

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"persimmonstage/core/rank"
	"persimmonstage/core/target"
	"persimmonstage/io/codec"
	"persimmonstage/io/uptime"
	"persimmonstage/io/wire"
)

var (
	errUnexpected = errors.New("unexpected message")
	errNothingYet = errors.New("the entry has none yet")
)

// frames handles the control frames of agents and of other entries.
type frames struct{ d *Daemon }

// Opened does nothing: a new connection is identified by its hello.
func (frames) Opened(uint64) {}

// Closed removes the state that depends on the connection.
func (f frames) Closed(conn uint64, _ error) {
	f.d.loop.Post(func(time.Time) { f.d.connClosed(conn) })
}

// Received posts a frame to the loop.
func (f frames) Received(conn uint64, fr *wire.Frame) {
	f.d.loop.Post(func(now time.Time) { f.d.handleFrame(now, conn, fr) })
}

func (d *Daemon) connClosed(conn uint64) {
	if gone := d.dialledClosed[conn]; gone != nil {
		close(gone)
		delete(d.dialledClosed, conn)
		return
	}
	delete(d.peerByConn, conn)
	l := d.agents.byConn[conn]
	if l == nil {
		return
	}
	delete(d.agents.byConn, conn)
	if l.conn != conn {
		return
	}
	l.conn = 0
	d.removeTarget(l)
	if l.mux != nil {
		go l.mux.Close()
	}
	d.removeClosedLink(l)
}

func (d *Daemon) handleFrame(now time.Time, conn uint64, fr *wire.Frame) {
	if h := fr.GetHello(); h != nil {
		d.handleHello(now, conn, h)
		return
	}
	if h := fr.GetPeerHello(); h != nil {
		d.handlePeerHello(conn, h)
		return
	}
	if b := fr.GetPeerBeat(); b != nil {
		d.handlePeerHeartbeat(conn, b)
		return
	}
	l := d.agents.byConn[conn]
	if l == nil {
		d.refuseConn(conn, "frame before hello")
		return
	}
	switch m := fr.Body.(type) {
	case *wire.Frame_Heartbeat:
		d.handleHeartbeat(now, l, m.Heartbeat)
	case *wire.Frame_Grant:
		d.owner.Granted(now, l.who.Incarnation, m.Grant.Attempt)
	case *wire.Frame_ProbeAnswer:
		d.handleProbeAnswer(now, l, m.ProbeAnswer.Ok)
	default:
		d.refuseConn(conn, "unexpected frame")
	}
}

func (d *Daemon) refuseConn(conn uint64, reason string) {
	d.log.Warn("control connection refused", zap.String("reason", reason))
	d.control.Drop(conn)
}

func (d *Daemon) handleHello(now time.Time, conn uint64, h *wire.Hello) {
	if h.Version != wire.Version {
		d.refuseConn(conn, "unknown version of the protocol")
		return
	}
	if h.Role != wire.Role_ROLE_AGENT {
		d.refuseConn(conn, "unknown role")
		return
	}
	if h.GraceMs > uint32(d.set.Timing.GraceMS) {
		d.refuseConn(conn, fmt.Sprintf("agent %s: timing.grace-ms: %d, limit %d set at this entry", h.Name, h.GraceMs, d.set.Timing.GraceMS))
		return
	}
	d.control.Send(conn, &wire.Frame{Body: &wire.Frame_HelloAnswer{HelloAnswer: &wire.HelloAnswer{
		Self: codec.EncodeIdent(d.ident()),
	}}})
	l := d.agents.link(h)
	l.conn = conn
	d.agents.byConn[conn] = l
	d.announce(now, l)
}

// handleHeartbeat answers an agent's heartbeat, echoing its stamp, and records its load.
func (d *Daemon) handleHeartbeat(now time.Time, l *agentLink, h *wire.Heartbeat) {
	d.group.NoteAgent(uptime.Now(), l.who)
	d.control.Send(l.conn, &wire.Frame{Body: &wire.Frame_HeartbeatAnswer{HeartbeatAnswer: &wire.HeartbeatAnswer{
		Stamp: h.Stamp, MapVersion: d.group.Version(), ConfigVersion: d.configVersion(),
	}}})
	if h.Leaving {
		l.leaving = true
		delete(d.agents.disconnected, l.who.Name)
	}
	if l.id == 0 {
		return
	}
	if h.Leaving {
		d.roster.Leave(l.id)
		d.reach.Left(l.hello.DataCentre, l.who.Name)
	}
	d.reportLoads(now, l, h.Stamp, h.Loads)
}

// reportLoads records the other entries' load at a target, by class.
func (d *Daemon) reportLoads(now time.Time, l *agentLink, stamp int64, list []*wire.Load) {
	loads := codec.DecodeLoads(list)
	at := time.Duration(stamp)
	d.roster.Report(l.id, at, loads[0].Held, loads[0].Tasks, loads[0].Work, now)
	for c := rank.Class(1); c < rank.Classes; c++ {
		d.roster.ReportClass(l.id, at, c, loads[c].Held, loads[c].Tasks, loads[c].Work)
	}
}

// probe asks an agent to check its target's health, which runs no caller's task.
func (d *Daemon) probe(id target.ID) {
	l := d.agents.byTarget[id]
	if l == nil || l.conn == 0 {
		return
	}
	d.control.Send(l.conn, &wire.Frame{Body: &wire.Frame_Probe{Probe: &wire.Probe{Id: uint64(id)}}})
}

func (d *Daemon) handleProbeAnswer(now time.Time, l *agentLink, ok bool) {
	if l.id != 0 {
		d.detector.Probed(l.id, ok, now)
	}
}
