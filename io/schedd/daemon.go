package schedd

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"persimmonstage/core/claims"
	"persimmonstage/core/gossip"
	"persimmonstage/core/ident"
	"persimmonstage/core/intake"
	"persimmonstage/core/newest"
	"persimmonstage/core/relay"
	"persimmonstage/core/runs"
	"persimmonstage/core/sched"
	"persimmonstage/io/ctrl"
	"persimmonstage/io/docmet"
	"persimmonstage/io/feed"
	"persimmonstage/io/hello"
	"persimmonstage/io/loop"
	"persimmonstage/io/marks"
	"persimmonstage/io/pack"
	"persimmonstage/io/uptime"
	"persimmonstage/io/wire"
)

const (
	// tickPeriod is the time between two checks for timeouts; the shortest start deadline of a job is about 20 ms.
	tickPeriod = 10 * time.Millisecond
	// agentTimeout is how long an agent may send nothing before its connection is closed.
	agentTimeout = 450 * time.Millisecond
	// maxTenure is the longest tenure of an agent that runs.Expiry covers.
	maxTenure = runs.Tenure
	// entryTTL is how long the address of another entry is sent to agents after its last announcement; agents keep it then.
	entryTTL = time.Minute
	// entryListEvery is the number of heartbeat answers per answer that lists the entries.
	entryListEvery = 8
)

// Config configures a Daemon.
type Config struct {
	Name    string
	Address string // IP:port on which it listens for agents
	// Unidentified bounds the connections to Address of processes that haven't sent a frame yet; 0 stands for no bound.
	Unidentified intake.Limits
}

// Daemon serves repeatable jobs; create it with New.
type Daemon struct {
	cfg     Config
	log     *zap.Logger
	self    ident.Ident
	loop    *loop.Loop
	control *ctrl.Engine
	sched   *sched.Sched
	doc     *newest.Newest
	relay   *relay.Relay
	metrics *metrics

	links       map[uint64]*link
	byName      map[string]*link
	dirty       []*link
	flushPosted bool
	entries     map[string]time.Time // until when each entry's address is sent to agents
	targets     atomic.Int64
	keepsApart  bool // routes that slow each other down
	unconfirmed bool // the document has to be read by agents
	packer      pack.Packer
	cancelled   gossip.Gossip[string] // jobs that callers have cancelled lately
	delays      delays                // of this process
	claims      claims.Claims         // on jobs that entries still work on when another may be handed them
	holder      uint64                // of this process's claims
	claimSerial uint64
	evacuations *marks.Marks
	yielded     uint64 // jobs refused for other entries, as counted in the metrics
}

// New returns a daemon; doc is the operators' document, which the daemon exchanges with agents.
func New(cfg Config, doc *newest.Newest, log *zap.Logger, reg prometheus.Registerer) *Daemon {
	inc := uuid.New()
	d := &Daemon{
		cfg: cfg, log: log, doc: doc,
		self:        ident.Ident{Name: cfg.Name, Incarnation: inc.String()},
		loop:        loop.New(),
		links:       make(map[uint64]*link),
		byName:      make(map[string]*link),
		entries:     make(map[string]time.Time),
		metrics:     newMetrics(reg),
		evacuations: marks.New(log, reg),
		holder:      binary.BigEndian.Uint64(inc[:8]),
	}
	rng := rand.New(rand.NewPCG(binary.BigEndian.Uint64(inc[:8]), binary.BigEndian.Uint64(inc[8:])))
	docmet.Register(reg, doc)
	d.sched = sched.New(effects{d}, rng)
	d.sched.SetEvacuations(d.evacuations.Table())
	d.sched.Tick(uptime.Now()) // so that a stall before the first turn of the loop is noticed
	d.relay = relay.New(rng)
	d.control = ctrl.New(feed.New(d.loop, d.opened, d.received, d.closed), log)
	return d
}

// Run serves until ctx ends.
func (d *Daemon) Run(ctx context.Context) error {
	d.control.SetBound(hello.New("control", d.cfg.Unidentified, d.log))
	if _, err := d.control.Listen(d.cfg.Address); err != nil {
		return err
	}
	d.log.Info("entry started", zap.String("incarnation", d.self.Incarnation), zap.String("address", d.cfg.Address))
	d.loop.Run(ctx, tickPeriod, d.tick)
	d.control.Stop(context.Background())
	d.log.Info("entry stopped")
	return nil
}

// Ready reports whether jobs can be served: the daemon has a version of the operators' document and a connected target.
func (d *Daemon) Ready() bool { return d.doc.Version() > 0 && d.targets.Load() > 0 }

// Targets returns the number of connected targets.
func (d *Daemon) Targets() int { return int(d.targets.Load()) }

// Announce sends this entry's address to another entry, which sends it on to its agents.
func (d *Daemon) Announce(ctx context.Context, addr string) error {
	conn, err := d.control.Dial(ctx, addr)
	if err != nil {
		return err
	}
	defer d.control.Drop(conn)
	d.control.Send(conn, &wire.Frame{Body: &wire.Frame_EntryHello{EntryHello: &wire.EntryHello{Address: d.cfg.Address}}})
	loop.Sleep(ctx, announceTime)
	return nil
}

// announceTime is how long the connection of an announcement is kept open for the frame to arrive.
const announceTime = 200 * time.Millisecond

func (d *Daemon) tick(time.Time) {
	now := uptime.Now()
	d.sched.Tick(now)
	d.probe(now)
	if n := d.sched.Yielded(); n > d.yielded {
		d.metrics.yielded.Add(float64(n - d.yielded))
		d.yielded = n
	}
	d.claims.Expire(now)
	d.requestDocument(now)
	for _, l := range d.links {
		if now.Sub(l.lastFrame) > agentTimeout {
			d.log.Warn("agent silent", zap.String("agent", l.name), zap.Int64("silent-ms", now.Sub(l.lastFrame).Milliseconds()))
			d.control.Drop(l.conn)
			d.lost(now, l)
		}
	}
}
