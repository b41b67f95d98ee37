package agentd

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"

	"persimmonstage/core/ident"
	"persimmonstage/core/jobkey"
	"persimmonstage/core/member"
	"persimmonstage/core/shards"
	"persimmonstage/io/bulk"
	"persimmonstage/io/codec"
	"persimmonstage/io/frame"
	"persimmonstage/io/loop"
	"persimmonstage/io/outbox"
	"persimmonstage/io/wire"
)

const (
	dialTimeout  = 2 * time.Second
	redialPause  = 200 * time.Millisecond
	fetchTimeout = 2 * time.Second
)

// link is the agent's pair of connections to one member of the shard map; only the loop touches its fields.
type link struct {
	member member.Member
	// remote is the process at the other end, as it identified itself; a restarted process listens at the same address.
	remote ident.Ident
	stop   context.CancelFunc
	conn   uint64
	mux    *bulk.Mux
	box    *outbox.Outbox
}

func (l *link) unsent() int {
	if l.box == nil {
		return 0
	}
	return l.box.Pending()
}

// seed fetches the shard map from a bulk address of the settings, retrying until it succeeds.
func (d *Daemon) seed(ctx context.Context, addr string) {
	go func() {
		for ctx.Err() == nil {
			mux, err := d.dial(ctx, addr)
			if err == nil {
				err = d.fetch(ctx, mux)
				mux.Close()
			}
			if err == nil {
				return
			}
			loop.Sleep(ctx, redialPause)
		}
	}()
}

func (d *Daemon) dial(ctx context.Context, addr string) (*bulk.Mux, error) {
	bounded, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return bulk.Dial(bounded, addr, d.log, d.serve)
}

// fetch fetches an entry's map and adopts it if it is newer.
func (d *Daemon) fetch(ctx context.Context, mux *bulk.Mux) error {
	bounded, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	got, err := mux.Fetch(bounded, bulk.FetchMap, 0)
	if err != nil {
		return err
	}
	if got.GetVersion() == 0 {
		return errNothingYet
	}
	return d.adoptFetched(got)
}

func (d *Daemon) adoptFetched(got *wire.Fetched) error {
	m := &shards.Map{}
	if err := m.UnmarshalJSON(got.Data); err != nil {
		return err
	}
	d.loop.Post(func(time.Time) { d.adopt(m.At(got.Version)) })
	return nil
}

// adopt adopts a newer map, connects to its new members and disconnects from those that are gone.
func (d *Daemon) adopt(m *shards.Map) {
	if !d.fence.Adopt(m) {
		return
	}
	d.ready.Store(true)
	d.log.Info("shard map adopted", zap.Int64("version", m.Version()), zap.Int("members", m.Size()))
	for inc, l := range d.links {
		if !m.Has(l.member.Ident()) {
			l.stop()
			delete(d.links, inc)
		}
	}
	for _, who := range m.Members() {
		if d.links[who.Incarnation] == nil {
			d.connect(who)
		}
	}
}

func (d *Daemon) connect(who member.Member) {
	ctx, stop := context.WithCancel(context.Background())
	l := &link{member: who, stop: stop}
	d.links[who.Incarnation] = l
	go d.maintain(ctx, l)
}

// maintain keeps both connections of a link open until ctx ends; if either fails, both are reopened.
func (d *Daemon) maintain(ctx context.Context, l *link) {
	reported := false
	for ctx.Err() == nil {
		err := d.session(ctx, l)
		if err != nil && !reported && ctx.Err() == nil {
			d.log.Info("entry not connected", zap.String("entry", l.member.Name), zap.Error(err))
		}
		reported = err != nil
		loop.Sleep(ctx, redialPause)
	}
}

func (d *Daemon) session(ctx context.Context, l *link) error {
	mux, err := d.dial(ctx, l.member.Bulk)
	if err != nil {
		return err
	}
	defer mux.Close()
	stop := context.AfterFunc(ctx, mux.Close)
	defer stop()
	bounded, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := d.control.Dial(bounded, l.member.Control)
	if err != nil {
		return err
	}
	defer d.control.Drop(conn)
	stream, err := mux.Open(&wire.Bulk{Body: &wire.Bulk_Hello{Hello: d.hello()}})
	if err != nil {
		return err
	}
	defer stream.Close()
	box := outbox.New()
	defer box.Close()
	go func() {
		if err := box.Run(stream); err != nil {
			mux.Close()
		}
	}()
	d.loop.Post(func(now time.Time) {
		l.conn, l.mux, l.box, l.remote = conn, mux, box, ident.Ident{}
		d.linkByConn[conn] = l
		d.control.Send(conn, &wire.Frame{Body: &wire.Frame_Hello{Hello: d.hello()}})
		d.sendHeartbeats(now)
	})
	err = d.receive(stream, l)
	d.loop.Post(func(time.Time) {
		delete(d.linkByConn, conn)
		if l.box == box {
			l.conn, l.mux, l.box = 0, nil, nil
		}
	})
	return err
}

func (d *Daemon) hello() *wire.Hello {
	return &wire.Hello{
		Version: wire.Version, Role: wire.Role_ROLE_AGENT, Name: d.self.Name, Incarnation: d.self.Incarnation,
		DataCentre: d.set.DataCentre, Rack: d.set.Rack, Host: d.set.Host, GraceMs: uint32(d.set.Timing.GraceMS), Capacity: codec.EncodeNeeds(d.set.Capacity),
		Leaving: d.draining.Load(),
	}
}

// receive posts the owner's messages on the work stream to the loop.
func (d *Daemon) receive(stream net.Conn, l *link) error {
	for {
		var b wire.Bulk
		if err := frame.Read(stream, frame.BulkLimit, &b); err != nil {
			return err
		}
		owner := l.member.Incarnation
		switch m := b.Body.(type) {
		case *wire.Bulk_Start:
			o := codec.DecodeStart(m.Start)
			d.loop.Post(func(now time.Time) { d.core.Order(now, owner, o) })
		case *wire.Bulk_Query:
			d.loop.Post(func(now time.Time) { d.core.Query(now, owner, m.Query.Attempts) })
		case *wire.Bulk_Repeat:
			d.loop.Post(func(time.Time) { d.repeat(owner, m.Repeat) })
		default:
			d.log.Warn("work stream refused", zap.String("entry", l.member.Name), zap.String("reason", "unexpected message"))
			return errUnexpected
		}
	}
}

func (d *Daemon) repeat(owner string, r *wire.Repeat) {
	d.core.Repeat(owner, int(r.Shard), jobkey.Key{Team: r.Team, ID: r.Id}, int(r.Index))
}

// byIncarnation returns the link to an entry's incarnation, or nil if it isn't connected.
func (d *Daemon) byIncarnation(owner string) *link {
	if l := d.links[owner]; l != nil && l.box != nil {
		return l
	}
	return nil
}
