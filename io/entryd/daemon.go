package entryd

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"persimmonstage/core/admit"
	"persimmonstage/core/cancel"
	"persimmonstage/core/eject"
	"persimmonstage/core/event"
	"persimmonstage/core/fold"
	"persimmonstage/core/group"
	"persimmonstage/core/ident"
	"persimmonstage/core/intake"
	"persimmonstage/core/limits"
	"persimmonstage/core/member"
	"persimmonstage/core/outage"
	"persimmonstage/core/owner"
	"persimmonstage/core/place"
	"persimmonstage/core/recov"
	"persimmonstage/core/retry"
	"persimmonstage/core/roster"
	"persimmonstage/core/rules"
	"persimmonstage/core/shards"
	"persimmonstage/core/speed"
	"persimmonstage/core/tally"
	"persimmonstage/core/target"
	"persimmonstage/io/bulk"
	"persimmonstage/io/conf"
	"persimmonstage/io/ctrl"
	"persimmonstage/io/days"
	"persimmonstage/io/entset"
	"persimmonstage/io/hello"
	"persimmonstage/io/logcl"
	"persimmonstage/io/loop"
	"persimmonstage/io/roll"
)

const (
	tickPeriod = 20 * time.Millisecond
	shardCount = 64
	// recordLifetime is the longest time from a task's start to the expiry of its record: the longest deadline that a
	// configuration can allow plus the margin by which records outlive it.
	recordLifetime = 24*time.Hour + time.Minute
	// internalPorts are those for control frames and for bulk messages.
	internalPorts = 2
	// mapRefresh is the age at which the map is appended to the log again, so that retention never removes it.
	mapRefresh = time.Hour
)

// Daemon is a running entry.
type Daemon struct {
	set     *entset.Settings
	log     *zap.Logger
	self    member.Member
	loop    *loop.Loop
	control *ctrl.Engine
	metrics *metrics
	limits  atomic.Pointer[limits.Limits]
	rules   atomic.Pointer[rules.Rules]
	config  *conf.Source
	account *roll.Writer
	days    *days.Days
	web     net.Listener
	bulk    net.Listener
	http    *fasthttp.Server
	// unidentified bounds other processes at each internal port.
	unidentified intake.Limits

	// view is the newest shard map, for the goroutines that serve callers.
	view atomic.Pointer[view]

	mu        sync.RWMutex
	peerMuxes map[string]*bulk.Mux

	// Only the loop touches these.
	owner            *owner.Owner
	roster           *roster.Roster
	speeds           *speed.Table
	placer           *place.Placer
	group            *group.Group
	retries          retry.Budget
	gate             *admit.Gate
	withdrawals      cancel.Batch
	withdrawTimerSet bool    // a timer for the next batch is set
	fleetFraction    float64 // this entry's fraction of the targets' work
	detector         *eject.Detector
	ejections        map[target.ID]event.Event
	recoveries       map[int]*recov.Recovery
	agents           agents
	reach            outage.Monitor
	releases         map[int]recov.Release
	links            map[string]*peer
	peerByConn       map[uint64]member.Member // accepted connections only
	dialledClosed    map[uint64]chan struct{} // by dialled connection; closed when it ends
	parked           []ownerRequest
	nextRecovery     time.Time
	nextTick         time.Time
	nextSlow         time.Time
	nextDecay        time.Time

	logs            *logcl.Client
	logUp           atomic.Bool
	readToEndWanted atomic.Int64
	readToEndDone   int64 // only follow touches it

	draining atomic.Bool
	requests atomic.Int64
	overdue  atomic.Int64 // jobs open past their deadline, at the last second
}

// view is a shard map with a channel that is closed when the map is replaced.
type view struct {
	shards  *shards.Map
	changed chan struct{}
}

// New returns an entry that Run starts; it binds the addresses so that they are known before Run.
func New(set *entset.Settings, log *zap.Logger) (*Daemon, error) {
	d := &Daemon{set: set, log: log, loop: loop.New(), peerMuxes: make(map[string]*bulk.Mux)}
	d.self = member.Member{Name: set.Name, Incarnation: uuid.NewString(), DataCentre: set.DataCentre}
	lim := limits.Default()
	d.limits.Store(&lim)
	d.view.Store(&view{changed: make(chan struct{})})
	d.control = ctrl.New(frames{d}, log)
	d.unidentified = intake.UnidentifiedLimits(set.Limits.Memory(), set.Limits.Descriptors(), internalPorts)
	d.control.SetBound(hello.New("control", d.unidentified, log))
	if err := d.bind(); err != nil {
		return nil, err
	}
	d.roster = &roster.Roster{}
	d.speeds = &speed.Table{}
	policy, _ := place.ParsePolicy(set.Placement)
	d.placer = place.New(policy, d.roster, d.speeds, ms(set.Timing.RoundTripMS))
	seed := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), rand.Uint64()))
	d.placer.DelayLarge(true)
	d.gate = admit.New(seed)
	d.detector = eject.New(d.roster, detectorEffects{d})
	d.owner = owner.New(effects{d}, d.placer, d.roster, &d.retries, d.gate, shardLease{d}, seed)
	d.agents = newAgents()
	d.ejections = make(map[target.ID]event.Event)
	d.reach.SetHome(set.DataCentre)
	d.group = group.New(group.Config{
		Self: d.self, Shards: shardCount, HeartbeatInterval: ms(set.Timing.HeartbeatMS), Suspect: ms(set.Timing.SuspectMS),
		Grace: ms(set.Timing.GraceMS), Lifetime: recordLifetime, Refresh: mapRefresh,
	})
	d.recoveries = make(map[int]*recov.Recovery)
	d.links = make(map[string]*peer)
	d.releases = make(map[int]recov.Release)
	d.dialledClosed = make(map[uint64]chan struct{})
	d.peerByConn = make(map[uint64]member.Member)
	d.logs = logcl.New(set.Log)
	d.rules.Store(rules.FromDocument(fold.Document{}))
	d.config = d.newSource()
	return d, d.newAccount()
}

// newAccount creates the account of the day and the reader of all entries' accounts.
func (d *Daemon) newAccount() error {
	loc, err := time.LoadLocation(d.set.TimeZone)
	if err != nil {
		return err
	}
	d.account = roll.New(d.logs, tally.New(d.self.Name, d.self.Incarnation), d.self.Name)
	d.days = days.New(d.logs, loc, d.account)
	d.days.SetKeptDays(d.set.Retention.AccountDays)
	d.metrics = newMetrics(d)
	return nil
}

func (d *Daemon) bind() error {
	var err error
	if d.web, err = net.Listen("tcp", d.set.HTTP); err != nil {
		return errors.Wrap(err, "http")
	}
	d.self.HTTP = d.web.Addr().String()
	if d.bulk, err = net.Listen("tcp", d.set.Bulk); err != nil {
		return errors.Wrap(err, "bulk")
	}
	d.self.Bulk = d.bulk.Addr().String()
	if d.self.Control, err = d.control.Listen(d.set.Control); err != nil {
		return err
	}
	d.advertise()
	return nil
}

// advertise replaces the addresses that others can't reach by those of a port mapping.
func (d *Daemon) advertise() {
	if d.set.AdvertiseControl != "" {
		d.self.Control, d.self.Mapped = d.set.AdvertiseControl, true
	}
	if d.set.AdvertiseBulk != "" {
		d.self.Bulk, d.self.Mapped = d.set.AdvertiseBulk, true
	}
}

// Addr returns the address for callers.
func (d *Daemon) Addr() string { return d.self.HTTP }

// BulkAddr returns the address from which agents and entries fetch the shard map.
func (d *Daemon) BulkAddr() string { return d.self.Bulk }

// Run serves until ctx ends, then accepts no new connections, answers the requests in progress and returns; requests that are
// not answered within the drain time are dropped and logged.
func (d *Daemon) Run(ctx context.Context) error {
	inner, stop := context.WithCancel(context.Background())
	defer stop()
	go d.loop.Run(inner, tickPeriod, d.tick)
	go bulk.Serve(d.bulk, bulk.Bounds{
		Conns:    hello.New("bulk", intake.Limits{Conns: d.unidentified.Conns}, d.log),
		Messages: hello.New("bulk-messages", intake.Limits{Bytes: d.unidentified.Bytes}, d.log),
	}, d.log, d.serve)
	d.http = d.server()
	callers := d.newGuard()
	go func() {
		if err := d.http.Serve(callers.Listener(d.web)); err != nil {
			d.log.Error("http ended", zap.Error(err))
		}
	}()
	go d.follow(inner)
	go d.config.Run(inner)
	accountEnd := make(chan struct{})
	go func() {
		d.account.Run(inner)
		close(accountEnd)
	}()
	d.seedPeers(inner)
	d.log.Info("entry started", zap.String("incarnation", d.self.Incarnation), zap.String("http", d.self.HTTP),
		zap.String("control", d.self.Control), zap.String("bulk", d.self.Bulk))
	<-ctx.Done()
	d.drain()
	stop()
	<-accountEnd
	d.days.Close()
	_ = d.bulk.Close()
	d.control.Stop(context.Background())
	d.log.Info("entry stopped")
	return nil
}

// drain leaves the group, stops accepting requests and waits until none is open.
func (d *Daemon) drain() {
	bounded, cancel := context.WithTimeout(context.Background(), time.Duration(d.set.Timing.DrainMS)*time.Millisecond)
	defer cancel()
	d.draining.Store(true)
	d.loop.Call(bounded, func(time.Time) { d.group.Leave() })
	d.awaitLeft(bounded)
	if err := d.http.ShutdownWithContext(bounded); err != nil {
		d.log.Warn("drain time over", zap.Int64("requests-given-up", d.requests.Load()), zap.Error(err))
	}
}

// awaitLeft waits until other entries own the shards and no agent still relies on this entry's last heartbeat answer; requests in
// progress continue meanwhile.
func (d *Daemon) awaitLeft(ctx context.Context) {
	var left time.Time
	for ctx.Err() == nil {
		alone := false
		d.loop.Call(ctx, func(now time.Time) {
			m := d.group.Map()
			alone = m == nil || m.Size() == 1 && m.Has(d.ident())
			if d.group.Left() && left.IsZero() {
				left = now.Add(ms(d.set.Timing.GraceMS))
			}
		})
		if alone || !left.IsZero() && time.Now().After(left) {
			return
		}
		loop.Sleep(ctx, leavePoll)
	}
}

const leavePoll = 20 * time.Millisecond

func (d *Daemon) tick(now time.Time) {
	d.unpark(now)
	d.owner.Tick(now)
	if now.Before(d.nextTick) {
		return
	}
	d.nextTick = now.Add(ms(d.set.Timing.HeartbeatMS) / ticksPerHeartbeat)
	d.tickGroup()
	d.tickRecoveries(now)
	d.roster.Tick(now, d.agentSilent)
	d.dropPeers(now)
	d.tickSlow(now)
}

// ticksPerHeartbeat is how often membership is stepped per heartbeat interval; deadlines of jobs are checked more often.
const ticksPerHeartbeat = 8

// tickSlow runs the tasks that are due about once a second.
func (d *Daemon) tickSlow(now time.Time) {
	if now.Before(d.nextSlow) {
		return
	}
	d.nextSlow = now.Add(time.Second)
	d.tickAccount(now)
	d.gate.Expire(now)
	d.detector.Tick(now, d.probe)
	d.tickDisconnected(now)
	d.setFleetFraction()
	if !now.Before(d.nextDecay) {
		d.nextDecay = now.Add(decayPeriod)
		d.speeds.Decay(func(id target.ID) { d.roster.SetSpeedFactor(id, d.speeds.Factor(id)) })
	}
}

// decayPeriod is how often the weight of learned target speeds decays, so that a slow target is tried again.
const decayPeriod = time.Minute

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// setView publishes a newer map to the goroutines that serve callers.
func (d *Daemon) setView(m *shards.Map) {
	old := d.view.Swap(&view{shards: m, changed: make(chan struct{})})
	close(old.changed)
	d.log.Info("shard map adopted", zap.Int64("version", m.Version()), zap.Int("members", m.Size()))
}

func (d *Daemon) ident() ident.Ident { return d.self.Ident() }
