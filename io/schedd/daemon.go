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

	"persimmonstage/core/ident"
	"persimmonstage/core/newest"
	"persimmonstage/core/sched"
	"persimmonstage/io/ctrl"
	"persimmonstage/io/feed"
	"persimmonstage/io/loop"
	"persimmonstage/io/uptime"
	"persimmonstage/io/wire"
)

const (
	// tickPeriod is the time between two looks at what is due; the shortest patience of a job is about 20 ms.
	tickPeriod = 10 * time.Millisecond
	// silence is how long an agent may send nothing before its connection is given up.
	silence = 450 * time.Millisecond
	// deadAfter is how long after the loss of a connection something may run at the target: the agent's trust in its last
	// heartbeat, or the target's lease if the agent is dead, whichever is longer, and the time that a stop takes.
	deadAfter = 800 * time.Millisecond
	// maxTenure is the longest trust of an agent that deadAfter covers.
	maxTenure = 600 * time.Millisecond
	// passOn is how long the address of an entry that has greeted this one is passed on to agents, which then know it.
	passOn = time.Minute
	// listEvery is how many heartbeat answers go out for one that lists the entries.
	listEvery = 8
)

// Config is what a Daemon is made from; it is plain data.
type Config struct {
	Name    string
	Address string // where agents connect, IP:port
}

// Daemon serves repeatable jobs.
type Daemon struct {
	cfg     Config
	log     *zap.Logger
	self    ident.Ident
	loop    *loop.Loop
	control *ctrl.Engine
	sched   *sched.Sched
	doc     *newest.Newest
	metrics *metrics

	links   map[uint64]*link
	byName  map[string]*link
	dirty   []*link
	flushed bool
	entries map[string]time.Time // until when each address is passed on to agents
	targets atomic.Int64
}

// New returns a daemon; doc is the operators' document, which it passes on between agents and takes from them.
func New(cfg Config, doc *newest.Newest, log *zap.Logger, reg prometheus.Registerer) *Daemon {
	inc := uuid.New()
	d := &Daemon{
		cfg: cfg, log: log, doc: doc,
		self:    ident.Ident{Name: cfg.Name, Incarnation: inc.String()},
		loop:    loop.New(),
		links:   make(map[uint64]*link),
		byName:  make(map[string]*link),
		entries: make(map[string]time.Time),
		metrics: newMetrics(reg),
	}
	rng := rand.New(rand.NewPCG(binary.BigEndian.Uint64(inc[:8]), binary.BigEndian.Uint64(inc[8:])))
	d.sched = sched.New(effects{d}, rng)
	d.control = ctrl.New(feed.New(d.loop, d.opened, d.framed, d.closed), log)
	return d
}

// Run serves until ctx ends.
func (d *Daemon) Run(ctx context.Context) error {
	if _, err := d.control.Listen(d.cfg.Address); err != nil {
		return err
	}
	d.log.Info("entry started", zap.String("incarnation", d.self.Incarnation), zap.String("address", d.cfg.Address))
	d.loop.Run(ctx, tickPeriod, d.tick)
	d.control.Stop(context.Background())
	d.log.Info("entry stopped")
	return nil
}

// Ready reports whether jobs can be served: the operators' document is known, and so is a target.
func (d *Daemon) Ready() bool { return d.doc.Version() > 0 && d.targets.Load() > 0 }

// Targets returns the number of connected targets.
func (d *Daemon) Targets() int { return int(d.targets.Load()) }

// Announce tells another entry where this one listens, so that the agents there learn it.
func (d *Daemon) Announce(ctx context.Context, addr string) error {
	conn, err := d.control.Dial(ctx, addr)
	if err != nil {
		return err
	}
	defer d.control.Drop(conn)
	d.control.Send(conn, &wire.Frame{Body: &wire.Frame_EntryHello{EntryHello: &wire.EntryHello{Address: d.cfg.Address}}})
	loop.Sleep(ctx, greetTime)
	return nil
}

// greetTime is how long the connection of a greeting is kept for the frame to arrive.
const greetTime = 200 * time.Millisecond

func (d *Daemon) tick(time.Time) {
	now := uptime.Now()
	d.sched.Tick(now)
	for _, l := range d.links {
		if now.Sub(l.heard) > silence {
			d.log.Warn("agent silent", zap.String("agent", l.name), zap.Int64("silent-ms", now.Sub(l.heard).Milliseconds()))
			d.control.Drop(l.conn)
			d.lost(now, l)
		}
	}
}
