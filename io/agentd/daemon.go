package agentd

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"persimmonstage/core/agent"
	"persimmonstage/core/fence"
	"persimmonstage/core/fold"
	"persimmonstage/core/ident"
	"persimmonstage/core/ledger"
	"persimmonstage/core/rules"
	"persimmonstage/io/agtset"
	"persimmonstage/io/conf"
	"persimmonstage/io/ctrl"
	"persimmonstage/io/loop"
	"persimmonstage/io/target"
	"persimmonstage/io/uptime"
)

const (
	tickPeriod   = 20 * time.Millisecond
	expirePeriod = time.Second
)

// Daemon is a running agent.
type Daemon struct {
	set     *agtset.Settings
	log     *zap.Logger
	self    ident.Ident
	loop    *loop.Loop
	control *ctrl.Engine
	target  *target.Client
	leases  *leaseManager // nil if starts need no lease
	metrics *metrics
	web     net.Listener

	// Only the loop touches these.
	core          *agent.Agent
	fence         *fence.Fence
	ledger        *ledger.Ledger
	links         map[string]*link
	linkByConn    map[uint64]*link
	nextHeartbeat time.Time
	nextExpire    time.Time
	config        *conf.Source
	rules         *rules.Rules // only the follower of the configuration touches it

	draining atomic.Bool
	ready    atomic.Bool
}

// New returns an agent that Run starts; it binds the HTTP address so that Addr is known before Run.
func New(set *agtset.Settings, log *zap.Logger) (*Daemon, error) {
	web, err := net.Listen("tcp", set.HTTP)
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		set: set, log: log, web: web,
		self:       ident.Ident{Name: set.Name, Incarnation: uuid.NewString()},
		loop:       loop.New(),
		target:     target.New(set.Target),
		fence:      fence.New(time.Duration(set.Timing.GraceMS) * time.Millisecond),
		ledger:     ledger.New(ledger.Config{Since: time.Now()}),
		links:      make(map[string]*link),
		linkByConn: make(map[uint64]*link),
	}
	d.core = agent.New(effects{d}, uptimeFence{d.fence}, d.ledger, set.Capacity)
	d.control = ctrl.New(frames{d}, log)
	d.rules = rules.FromDocument(fold.Document{})
	d.config = d.newSource()
	d.metrics = newMetrics(d, prometheus.NewRegistry())
	if set.Leases != "" {
		d.leases = newLeaseManager(d, set.Leases)
		d.core.SetLeases(hostRoom{&d.leases.slots, &d.leases.down}, d.leases)
	}
	return d, nil
}

// Addr returns the address of the agent's own HTTP port.
func (d *Daemon) Addr() string { return d.web.Addr().String() }

// Run serves until ctx ends, then refuses new work, waits for running tasks and returns; tasks that are still running after the
// drain time are dropped and logged.
func (d *Daemon) Run(ctx context.Context) error {
	inner, stop := context.WithCancel(context.Background())
	defer stop()
	go d.loop.Run(inner, tickPeriod, d.tick)
	for _, addr := range d.set.Entries {
		d.seed(inner, addr)
	}
	go d.config.Run(inner)
	if d.leases != nil {
		go d.leases.run(inner)
	}
	go d.serveHTTP()
	d.log.Info("agent started", zap.String("incarnation", d.self.Incarnation), zap.String("http", d.Addr()))
	<-ctx.Done()
	d.drain()
	if d.leases != nil {
		d.leases.ends.flush(d.leases.client)
	}
	_ = d.web.Close()
	stop()
	d.control.Stop(context.Background())
	d.log.Info("agent stopped")
	return nil
}

func (d *Daemon) drain() {
	deadline := time.Now().Add(time.Duration(d.set.Timing.DrainMS) * time.Millisecond)
	d.draining.Store(true)
	d.loop.Call(context.Background(), func(now time.Time) {
		d.core.Leave(now)
		d.sendHeartbeats(now)
	})
	for time.Now().Before(deadline) {
		running, unsent := 0, 0
		d.loop.Call(context.Background(), func(time.Time) {
			running = d.core.Running()
			for _, l := range d.links {
				unsent += l.unsent()
			}
		})
		if running == 0 && unsent == 0 {
			d.loop.Call(context.Background(), func(time.Time) { d.closeLinks() })
			time.Sleep(drainPoll)
			return
		}
		time.Sleep(drainPoll)
	}
	d.loop.Call(context.Background(), func(time.Time) {
		d.log.Warn("drain time over", zap.Int("tasks-given-up", d.core.Running()))
	})
}

const drainPoll = 20 * time.Millisecond

// uptimeFence is a fence that uses the uptime clock, which also produced the heartbeat stamps.
type uptimeFence struct{ *fence.Fence }

// Admit calls the fence's Admit at the current uptime.
func (f uptimeFence) Admit(_ time.Time, shard int, epoch uint64, owner string) error {
	return f.Fence.Admit(uptime.Now(), shard, epoch, owner)
}

func (d *Daemon) tick(now time.Time) {
	d.core.Tick(now)
	if !now.Before(d.nextHeartbeat) {
		d.nextHeartbeat = now.Add(time.Duration(d.set.Timing.HeartbeatMS) * time.Millisecond)
		d.sendHeartbeats(now)
	}
	if !now.Before(d.nextExpire) {
		d.nextExpire = now.Add(expirePeriod)
		d.ledger.Expire(now)
	}
}
