package runsd

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"persimmonstage/core/claims"
	"persimmonstage/core/crash"
	"persimmonstage/core/fetch"
	"persimmonstage/core/flight"
	"persimmonstage/core/gossip"
	"persimmonstage/core/ident"
	"persimmonstage/core/newest"
	"persimmonstage/core/offer"
	"persimmonstage/core/rtt"
	"persimmonstage/core/runs"
	"persimmonstage/core/subset"
	"persimmonstage/io/ctrl"
	"persimmonstage/io/docmet"
	"persimmonstage/io/feed"
	"persimmonstage/io/loop"
	"persimmonstage/io/marks"
	"persimmonstage/io/pack"
	"persimmonstage/io/uptime"
)

const (
	// tickPeriod is the time between two checks of timeouts.
	tickPeriod = 20 * time.Millisecond
	// heartbeatPeriod is the time between two heartbeats to an entry whose tasks run here; four fit into the tenure.
	heartbeatPeriod = 120 * time.Millisecond
	// idleHeartbeatPeriod is the same for an entry without tasks here: its next order requires a recent echo, and each side has
	// to notice when the other stops answering.
	idleHeartbeatPeriod = 200 * time.Millisecond
	// silenceTimeout is how long an entry may send nothing before its connection is closed.
	silenceTimeout = 450 * time.Millisecond
	// drainTime is how long running tasks may take to end after the agent is stopped.
	drainTime = 4500 * time.Millisecond
	// stateDelay is how long changes of the target's state are collected before they are sent, since each is sent to several
	// entries. scarceDelay is the same while room is scarce, as a longer delay would leave room unused, and is the time between
	// two turns.
	stateDelay  = 30 * time.Millisecond
	scarceDelay = 5 * time.Millisecond
	// stateLogPeriod is the time between two log lines about the target's state.
	stateLogPeriod = 2 * time.Second
	permille       = 1000
	// maxCrashReports is the number of the target's latest crashes that are kept for entries that connect later, and
	// crashRetention is how long each is.
	maxCrashReports = 16
	crashRetention  = 30 * time.Second
)

// target is the target on the agent's host.
type target interface {
	// Fence makes the target ignore all earlier calls from the next call on that it answers.
	Fence()
	// Start starts a run under the lease that ends at until, and returns the reason if it was rejected.
	Start(ctx context.Context, l *runs.Instance, o *runs.Order, k runs.Key, until time.Time) (runs.Answer, string)
	// Stop stops a run.
	Stop(ctx context.Context, l *runs.Instance, k runs.Key) runs.Answer
	// Poll lists what runs and what has ended since ack, waits up to wait for an end, and extends the lease unless until is zero.
	Poll(ctx context.Context, l *runs.Instance, ack int64, until time.Time, wait time.Duration) (*runs.Listing, error)
	// Identify lists what runs and what has ended at the process that answers at an announced address.
	Identify(ctx context.Context, l *runs.Instance) (*runs.Listing, error)
}

// Config configures a Daemon; it is plain data.
type Config struct {
	Name       string
	DataCentre string
}

// Daemon runs the tasks of one target.
type Daemon struct {
	cfg       Config
	log       *zap.Logger
	self      ident.Ident
	loop      *loop.Loop
	control   *ctrl.Engine
	runs      *runs.Runs
	target    target
	doc       *newest.Newest
	documents documents
	spread    *fetch.Spread
	subset    *subset.Subset
	offer     *offer.Offer
	metrics   *metrics

	calls      rtt.Estimator // of the calls to the target
	pollLosses int           // consecutive
	// The latest target that was logged, the latest that was kept, and the question to an announced process.
	noted        *runs.Instance
	identifying  bool
	keep         func(l *runs.Instance)
	kept         *runs.Instance
	nextIdentify time.Time
	crashes      []*crash.Report

	links  map[string]*link // by address
	conns  map[uint64]*link
	owners map[string]*link // by the entry's incarnation
	// Pending transmission of the target's state to the entries, and the values that were last sent.
	pending       bool
	pendingSoon   bool
	sentScarce    bool
	sentUsable    bool
	turnScheduled bool // the next turn of the offer is scheduled
	nextStateLog  time.Time
	wake          chan struct{}
	ctx           context.Context
	phase         time.Duration // of the heartbeats

	packer    pack.Packer
	cancelled gossip.Gossip[string] // jobs that callers have cancelled lately, for the other entries
	claims    claims.Claims         // of entries on jobs, for the other entries

	evacuations *marks.Marks

	documentRequests flight.Flight[*documentRequest]
}

// New returns a daemon for the target t; doc is the operators' document, which it distributes between entries and reads from docs for
// those that can't.
func New(cfg Config, t target, docs documents, doc *newest.Newest, log *zap.Logger, reg prometheus.Registerer) *Daemon {
	inc := uuid.New()
	rng := rand.New(rand.NewPCG(binary.BigEndian.Uint64(inc[:8]), binary.BigEndian.Uint64(inc[8:])))
	d := &Daemon{
		cfg: cfg, log: log, target: t, documents: docs, doc: doc,
		self:        ident.Ident{Name: cfg.Name, Incarnation: inc.String()},
		spread:      fetch.New(rng),
		subset:      subset.New(cfg.Name),
		offer:       offer.New(rng),
		loop:        loop.New(),
		links:       make(map[string]*link),
		conns:       make(map[uint64]*link),
		owners:      make(map[string]*link),
		wake:        make(chan struct{}, 1),
		phase:       time.Duration(rng.Int64N(int64(idleHeartbeatPeriod))),
		metrics:     newMetrics(reg),
		evacuations: marks.New(log, reg),
	}
	docmet.Register(reg, doc)
	d.runs = runs.New(effects{d})
	d.runs.SetEvacuations(d.evacuations.Table(), cfg.DataCentre)
	d.control = ctrl.New(feed.New(d.loop, d.opened, d.received, d.closed), log)
	return d
}

// KeepTarget has keep called, on the daemon's goroutine, for each announcement of the target that its own list has confirmed; it is
// called before Run.
func (d *Daemon) KeepTarget(keep func(l *runs.Instance)) { d.keep = keep }

// Run serves until ctx ends, then refuses new orders, waits up to drainTime for running tasks to end, and returns.
func (d *Daemon) Run(ctx context.Context) error {
	inner, stop := context.WithCancel(context.Background())
	defer stop()
	d.ctx = inner
	d.log.Info("agent started", zap.String("incarnation", d.self.Incarnation))
	go d.pollTarget(inner)
	go d.drain(ctx, stop)
	d.loop.Run(inner, tickPeriod, d.tick)
	d.control.Stop(context.Background())
	d.log.Info("agent stopped", zap.Int("given-up", d.runs.Len()))
	return nil
}

// drain waits until ctx ends and then until no run is left.
func (d *Daemon) drain(ctx context.Context, stop context.CancelFunc) {
	<-ctx.Done()
	defer stop()
	d.log.Info("agent stopping")
	d.loop.Call(context.Background(), func(time.Time) { d.runs.Leave(uptime.Now()) })
	for end := uptime.Now().Add(drainTime); uptime.Now().Before(end); time.Sleep(tickPeriod) {
		left := 0
		d.loop.Call(context.Background(), func(time.Time) { left = d.runs.Len() })
		if left == 0 {
			time.Sleep(2 * tickPeriod) // until the last reports are sent
			return
		}
	}
}

// Announced processes an announcement of the target.
func (d *Daemon) Announced(l *runs.Instance) {
	d.loop.Post(func(time.Time) {
		now := uptime.Now()
		d.runs.Announced(now, l)
		d.noteTarget()
		d.identify(now)
	})
}

// Gone removes the target after it has announced its shutdown.
func (d *Daemon) Gone(id string) {
	d.loop.Post(func(time.Time) {
		if l := d.runs.Instance(); l != nil && l.ID == id {
			d.log.Info("target left", zap.String("target", id))
			d.runs.TargetLeft(uptime.Now())
		}
	})
}

// wakeUp wakes the polling goroutine if it waits for a target.
func (d *Daemon) wakeUp() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

func (d *Daemon) tick(time.Time) { d.step(uptime.Now()) }

// step handles timeouts and sends what is due.
func (d *Daemon) step(now time.Time) {
	d.runs.Tick(now)
	d.claims.Expire(now)
	d.noteTarget()
	d.identify(now)
	if d.runs.Established() {
		d.subset.Choose(now) // entries that can't be connected to yet must not count as unreachable
	}
	for _, l := range d.links {
		d.maintain(now, l)
	}
	d.fetch(now)
	d.readDocument(now)
	d.logState(now)
}

// logState logs the target's capacity and speed every stateLogPeriod.
func (d *Daemon) logState(now time.Time) {
	l := d.runs.Instance()
	if l == nil || now.Before(d.nextStateLog) {
		return
	}
	d.nextStateLog = now.Add(stateLogPeriod)
	s := d.runs.State(now, "")
	d.log.Info("target state", zap.String("target", l.ID), zap.Uint64("millicores", s.Millicores), zap.Uint64("used-millicores", s.UsedMillicores),
		zap.Int("pace-permille", int(permille*s.Pace)), zap.Bool("usable", s.Usable), zap.Bool("draining", l.Draining), zap.Int("runs", d.runs.Len()))
}
