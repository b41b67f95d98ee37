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
	dialTimeout  = time.Second
	redialPause  = 200 * time.Millisecond
	askTimeout   = 3 * time.Second
	peerLifetime = time.Minute
)

// peer is this entry's pair of dialled connections to another entry; the loop owns its fields.
type peer struct {
	who     member.Member
	stop    context.CancelFunc
	conn    uint64
	mux     *bulk.Mux
	asking  bool
	dropped time.Time
}

// peerOf gives the connections to an entry, and begins to make them the first time.
func (d *Daemon) peerOf(who member.Member) *peer {
	p := d.links[who.Incarnation]
	if p == nil {
		ctx, stop := context.WithCancel(context.Background())
		p = &peer{who: who, stop: stop}
		d.links[who.Incarnation] = p
		go d.keepPeer(ctx, p)
	}
	p.dropped = time.Now().Add(peerLifetime)
	return p
}

// dropPeers ends the connections to entries that the membership has not mentioned for a while.
func (d *Daemon) dropPeers(now time.Time) {
	for inc, p := range d.links {
		if now.After(p.dropped) {
			p.stop()
			delete(d.links, inc)
		}
	}
}

func (d *Daemon) keepPeer(ctx context.Context, p *peer) {
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
		From: codec.MemberOut(d.self), To: codec.IdentOut(p.who.Ident()), GraceMs: uint32(d.set.Timing.GraceMS),
	}}})
	d.mu.Lock()
	d.peers[p.who.Incarnation] = mux
	d.mu.Unlock()
	gone := make(chan struct{})
	d.loop.Post(func(time.Time) {
		p.conn, p.mux = conn, mux
		d.dialled[conn] = gone
	})
	select {
	case <-mux.Closed():
	case <-gone:
	case <-ctx.Done():
	}
	d.mu.Lock()
	if d.peers[p.who.Incarnation] == mux {
		delete(d.peers, p.who.Incarnation)
	}
	d.mu.Unlock()
	d.loop.Post(func(time.Time) {
		p.conn, p.mux = 0, nil
		delete(d.dialled, conn)
	})
	return nil
}

func (d *Daemon) sendBeat(s group.Send) {
	if p := d.peerOf(s.To); p.conn != 0 {
		d.control.Send(p.conn, &wire.Frame{Body: &wire.Frame_PeerBeat{PeerBeat: codec.BeatOut(&s.Heartbeat)}})
	}
}

// peerHello learns who another entry is; a connection that was meant for an earlier process at this address is closed.
func (d *Daemon) peerHello(conn uint64, h *wire.PeerHello) {
	if codec.IdentIn(h.To) != d.ident() {
		d.refuseConn(conn, "meant for another incarnation")
		return
	}
	if h.GraceMs != uint32(d.set.Timing.GraceMS) {
		d.refuseConn(conn, fmt.Sprintf("entry %s: timing.grace-ms: %d, here %d", h.From.GetName(), h.GraceMs, d.set.Timing.GraceMS))
		return
	}
	d.heardFrom[conn] = codec.MemberIn(h.From)
}

// peerBeat takes another entry's heartbeat from an accepted connection.
func (d *Daemon) peerBeat(conn uint64, b *wire.PeerBeat) {
	from, known := d.heardFrom[conn]
	if !known {
		d.refuseConn(conn, "heartbeat before hello")
		return
	}
	beat := codec.BeatIn(from, b)
	p := d.peerOf(beat.From)
	if d.group.HandleHeartbeat(uptime.Now(), beat) {
		d.fetchMap(p)
	}
	d.regroup()
}

// askRoster asks an entry which agents it has answered, one question at a time.
func (d *Daemon) askRoster(who member.Member) {
	p := d.peerOf(who)
	if p.mux == nil || p.asking {
		return
	}
	p.asking = true
	mux := p.mux
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		defer cancel()
		got, err := mux.Ask(ctx, &wire.Bulk{Body: &wire.Bulk_RosterAsk{RosterAsk: &wire.RosterAsk{}}})
		d.loop.Post(func(time.Time) {
			p.asking = false
			if r := got.GetRoster(); err == nil && r != nil {
				d.group.HandleRoster(uptime.Now(), codec.RosterIn(r))
			}
		})
	}()
}

func fetchFrom(mux *bulk.Mux) (*wire.Fetched, error) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
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

// seedPeers asks the settings' peers for the map until one is known, which needs no log.
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
			d.learnFrom(mux)
			mux.Close()
		}
		loop.Sleep(ctx, redialPause)
	}
}

// learnFrom takes the map that an entry of the settings carries.
func (d *Daemon) learnFrom(mux *bulk.Mux) {
	got, err := fetchFrom(mux)
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
		d.regroup()
	})
}
