package runsd

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"persimmonstage/core/ident"
	"persimmonstage/core/newest"
	"persimmonstage/core/offer"
	"persimmonstage/core/runs"
	"persimmonstage/core/spread"
	"persimmonstage/core/subset"
	"persimmonstage/io/ctrl"
	"persimmonstage/io/feed"
	"persimmonstage/io/loop"
	"persimmonstage/io/uptime"
)

const (
	// tickPeriod is the time between two looks at what is due.
	tickPeriod = 20 * time.Millisecond
	// beatEvery is the time between two heartbeats to an entry whose tasks run here; the tenure holds four.
	beatEvery = 120 * time.Millisecond
	// idleBeat is the same for an entry that has nothing here: its next order has to find a fresh echo, and either side has to
	// notice the other's silence.
	idleBeat = 200 * time.Millisecond
	// silence is how long an entry may answer nothing before its connection is given up.
	silence = 450 * time.Millisecond
	// drainTime is for how long running tasks may end after the word to stop.
	drainTime = 4500 * time.Millisecond
	// ampleDelay gathers changes of the target's state before they are told, as each is told to several entries; scarceDelay does
	// so when entries wait for room, of which a longer delay would leave a part unused, and is the time between two turns.
	ampleDelay  = 30 * time.Millisecond
	scarceDelay = 5 * time.Millisecond
)

// target is the process that the agent stands beside.
type target interface {
	// Start calls for a start under the lease that ends at until; reason tells why it was rejected.
	Start(ctx context.Context, l *runs.Instance, o *runs.Order, k runs.Key, until time.Time) (runs.Answer, string)
	// Stop calls for the end of a run.
	Stop(ctx context.Context, l *runs.Instance, k runs.Key) runs.Answer
	// Poll asks what runs and what has ended since ack, waits up to wait for an end, and extends the lease unless until is
	// zero.
	Poll(ctx context.Context, l *runs.Instance, ack int64, until time.Time, wait time.Duration) (*runs.Listing, error)
}

// Config is what a Daemon is made from; it is plain data.
type Config struct {
	Name       string
	DataCentre string
}

// Daemon carries the tasks of one target.
type Daemon struct {
	cfg     Config
	log     *zap.Logger
	self    ident.Ident
	loop    *loop.Loop
	control *ctrl.Engine
	runs    *runs.Runs
	target  target
	doc     *newest.Newest
	spread  *spread.Spread
	subset  *subset.Subset
	offer   *offer.Offer
	metrics *metrics

	links  map[string]*link // by address
	conns  map[uint64]*link
	owners map[string]*link // by the entry's incarnation
	// The state of the target on its way to the entries, and what they were last told of it.
	pending    bool
	soon       bool
	toldScarce bool
	toldUsable bool
	offering   bool // the next turn of the offer is under way
	wake       chan struct{}
	ctx        context.Context
}

// New returns a daemon that acts at t; doc is the operators' document, which it passes on between entries.
func New(cfg Config, t target, doc *newest.Newest, log *zap.Logger, reg prometheus.Registerer) *Daemon {
	inc := uuid.New()
	rng := rand.New(rand.NewPCG(binary.BigEndian.Uint64(inc[:8]), binary.BigEndian.Uint64(inc[8:])))
	d := &Daemon{
		cfg: cfg, log: log, target: t, doc: doc,
		self:    ident.Ident{Name: cfg.Name, Incarnation: inc.String()},
		spread:  spread.New(rng),
		subset:  subset.New(cfg.Name),
		offer:   offer.New(rng),
		loop:    loop.New(),
		links:   make(map[string]*link),
		conns:   make(map[uint64]*link),
		owners:  make(map[string]*link),
		wake:    make(chan struct{}, 1),
		metrics: newMetrics(reg),
	}
	d.runs = runs.New(effects{d})
	d.control = ctrl.New(feed.New(d.loop, d.opened, d.framed, d.closed), log)
	return d
}

// Run serves until ctx ends, then refuses new work, lets running tasks end, and returns.
func (d *Daemon) Run(ctx context.Context) error {
	inner, stop := context.WithCancel(context.Background())
	defer stop()
	d.ctx = inner
	d.log.Info("agent started", zap.String("incarnation", d.self.Incarnation))
	go d.look(inner)
	go d.drain(ctx, stop)
	d.loop.Run(inner, tickPeriod, d.tick)
	d.control.Stop(context.Background())
	d.log.Info("agent stopped", zap.Int("given-up", d.runs.Len()))
	return nil
}

// drain waits for the word to stop and then for the end of what runs.
func (d *Daemon) drain(ctx context.Context, stop context.CancelFunc) {
	<-ctx.Done()
	defer stop()
	d.log.Info("agent stopping")
	d.loop.Call(context.Background(), func(time.Time) { d.runs.Leave(uptime.Now()) })
	for end := uptime.Now().Add(drainTime); uptime.Now().Before(end); time.Sleep(tickPeriod) {
		left := 0
		d.loop.Call(context.Background(), func(time.Time) { left = d.runs.Len() })
		if left == 0 {
			time.Sleep(2 * tickPeriod) // for the last reports to go out
			return
		}
	}
}

// Announced takes the target's word of itself.
func (d *Daemon) Announced(l *runs.Instance) {
	d.loop.Post(func(time.Time) {
		if d.runs.Announced(uptime.Now(), l) {
			d.log.Info("target announced", zap.String("target", l.ID), zap.String("service", l.Service), zap.Int64("born", l.Born),
				zap.Uint64("millicores", l.Millicores), zap.Bool("draining", l.Draining))
			d.poke()
		}
	})
}

// Gone takes the target's word that it has left.
func (d *Daemon) Gone(id string) {
	d.loop.Post(func(time.Time) {
		if l := d.runs.Instance(); l != nil && l.ID == id {
			d.log.Info("target left", zap.String("target", id))
			d.runs.TargetLeft(uptime.Now())
		}
	})
}

// poke ends the pause of a goroutine that waits for a target to look at.
func (d *Daemon) poke() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

func (d *Daemon) tick(time.Time) {
	now := uptime.Now()
	d.runs.Tick(now)
	d.subset.Choose(now)
	for _, l := range d.links {
		d.keep(now, l)
	}
	d.fetch(now)
}
