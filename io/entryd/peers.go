package entryd

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"go.uber.org/zap"

	"persimmonstage/core/group"
	"persimmonstage/core/member"
	"persimmonstage/core/shards"
	"persimmonstage/io/bulk"
	"persimmonstage/io/codec"
	"persimmonstage/io/loop"
	"persimmonstage/io/uptime"
	"persimmonstage/io/wire"
)

const (
	dialTimeout    = time.Second
	redialPause    = 200 * time.Millisecond
	requestTimeout = 3 * time.Second
	peerLifetime   = time.Minute
)

// peer is this entry's pair of dialled connections to another entry; only the loop touches its fields.
type peer struct {
	who             member.Member
	stop            context.CancelFunc
	conn            uint64
	mux             *bulk.Mux
	rosterRequested bool
	expires         time.Time
}

// peerOf returns the connections to an entry and starts dialling them on first use.
func (d *Daemon) peerOf(who member.Member) *peer {
	p := d.links[who.Incarnation]
	if p == nil {
		ctx, stop := context.WithCancel(context.Background())
		p = &peer{who: who, stop: stop}
		d.links[who.Incarnation] = p
		go d.maintainPeer(ctx, p)
	}
	p.expires = time.Now().Add(peerLifetime)
	return p
}

// dropPeers closes the connections to entries that were not used for peerLifetime.
func (d *Daemon) dropPeers(now time.Time) {
	for inc, p := range d.links {
		if now.After(p.expires) {
			p.stop()
			delete(d.links, inc)
		}
	}
}

func (d *Daemon) maintainPeer(ctx context.Context, p *peer) {
	reported := false
	for ctx.Err() == nil {
		err := d.peerSession(ctx, p)
		if err != nil && !reported && ctx.Err() == nil {
			d.log.Info("entry not connected", zap.String("entry", p.who.Name), zap.Error(err))
		}
		reported = err != nil
		loop.Sleep(ctx, redialPause)
	}
}

func (d *Daemon) peerSession(ctx context.Context, p *peer) error {
	bounded, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	mux, err := bulk.Dial(bounded, p.who.Bulk, d.log, d.serve)
	if err != nil {
		return err
	}
	defer mux.Close()
	conn, err := d.control.Dial(bounded, p.who.Control)
	if err != nil {
		return err
	}
	defer d.control.Drop(conn)
	d.control.Send(conn, &wire.Frame{Body: &wire.Frame_PeerHello{PeerHello: &wire.PeerHello{
		From: codec.EncodeMember(d.self), To: codec.EncodeIdent(p.who.Ident()), GraceMs: uint32(d.set.Timing.GraceMS),
	}}})
	d.mu.Lock()
	d.peerMuxes[p.who.Incarnation] = mux
	d.mu.Unlock()
	gone := make(chan struct{})
	d.loop.Post(func(time.Time) {
		p.conn, p.mux = conn, mux
		d.dialledClosed[conn] = gone
	})
	select {
	case <-mux.Closed():
	case <-gone:
	case <-ctx.Done():
	}
	d.mu.Lock()
	if d.peerMuxes[p.who.Incarnation] == mux {
		delete(d.peerMuxes, p.who.Incarnation)
	}
	d.mu.Unlock()
	d.loop.Post(func(time.Time) {
		p.conn, p.mux = 0, nil
		delete(d.dialledClosed, conn)
	})
	return nil
}

func (d *Daemon) sendHeartbeat(s group.Send) {
	if p := d.peerOf(s.To); p.conn != 0 {
		d.control.Send(p.conn, &wire.Frame{Body: &wire.Frame_PeerBeat{PeerBeat: codec.EncodeHeartbeat(&s.Heartbeat)}})
	}
}

// handlePeerHello identifies the other entry; it closes a connection meant for an earlier process at this address.
func (d *Daemon) handlePeerHello(conn uint64, h *wire.PeerHello) {
	if codec.DecodeIdent(h.To) != d.ident() {
		d.refuseConn(conn, "meant for another incarnation")
		return
	}
	if h.GraceMs != uint32(d.set.Timing.GraceMS) {
		d.refuseConn(conn, fmt.Sprintf("entry %s: timing.grace-ms: %d, here %d", h.From.GetName(), h.GraceMs, d.set.Timing.GraceMS))
		return
	}
	d.peerByConn[conn] = codec.DecodeMember(h.From)
}

// handlePeerHeartbeat handles another entry's heartbeat on an accepted connection.
func (d *Daemon) handlePeerHeartbeat(conn uint64, b *wire.PeerBeat) {
	from, known := d.peerByConn[conn]
	if !known {
		d.refuseConn(conn, "heartbeat before hello")
		return
	}
	beat := codec.DecodeHeartbeat(from, b)
	p := d.peerOf(beat.From)
	if d.group.HandleHeartbeat(uptime.Now(), beat) {
		d.fetchMap(p)
	}
	d.applyMap()
}

// requestRoster requests the list of agents that an entry has answered, one request at a time.
func (d *Daemon) requestRoster(who member.Member) {
	p := d.peerOf(who)
	if p.mux == nil || p.rosterRequested {
		return
	}
	p.rosterRequested = true
	mux := p.mux
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
		defer cancel()
		got, err := mux.Request(ctx, &wire.Bulk{Body: &wire.Bulk_RosterAsk{RosterAsk: &wire.RosterAsk{}}})
		d.loop.Post(func(time.Time) {
			p.rosterRequested = false
			if r := got.GetRoster(); err == nil && r != nil {
				d.group.HandleRoster(uptime.Now(), codec.DecodeRoster(r))
			}
		})
	}()
}

func requestMap(mux *bulk.Mux) (*wire.Fetched, error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	got, err := mux.Fetch(ctx, bulk.FetchMap, 0)
	if err != nil {
		return nil, err
	}
	if got.GetVersion() == 0 {
		return nil, errNothingYet
	}
	return got, nil
}

// seedPeers fetches the map from the configured peers until one is known, which works without the log.
func (d *Daemon) seedPeers(ctx context.Context) {
	for _, addr := range d.set.Peers {
		go d.seedPeer(ctx, addr)
	}
}

func (d *Daemon) seedPeer(ctx context.Context, addr string) {
	for ctx.Err() == nil && d.mapVersion() == 0 {
		bounded, cancel := context.WithTimeout(ctx, dialTimeout)
		mux, err := bulk.Dial(bounded, addr, d.log, d.serve)
		cancel()
		if err == nil {
			d.adoptMapFrom(mux)
			mux.Close()
		}
		loop.Sleep(ctx, redialPause)
	}
}

// adoptMapFrom fetches another entry's map and adopts it.
func (d *Daemon) adoptMapFrom(mux *bulk.Mux) {
	got, err := requestMap(mux)
	if err != nil {
		return
	}
	m := &shards.Map{}
	if err := json.Unmarshal(got.Data, m); err != nil {
		d.log.Warn("map not decoded", zap.Error(err))
		return
	}
	d.loop.Post(func(time.Time) {
		d.group.AdoptFromPeer(uptime.Now(), m.At(got.Version))
		d.applyMap()
	})
}
