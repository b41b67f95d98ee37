package agentd

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"persimmonstage/core/needs"
	"persimmonstage/core/slots"
	"persimmonstage/io/lease"
	"persimmonstage/io/loop"
)

const (
	guardPeriod = time.Second
	leaseTerm   = 10 * time.Second
	// renewBefore is how long before its expiry a lease is renewed, which bridges a short outage of the lease service.
	renewBefore = 7 * time.Second
	endRetry    = 200 * time.Millisecond
)

// Refusal reasons of a start that got no lease.
const (
	leaseRefused = "lease-refused"
	leasesDown   = "lease-service-down"
)

// leaseManager manages the leases of the tasks at the target: it takes one for each start, renews them, reports their usage to
// the host's slots, and carries out the guard's actions.
//
// A lease is ended only after its take has been answered or given up, so that the end never overtakes the take. After a
// take was given up, further starts are refused immediately until the service answers again.
type leaseManager struct {
	d      *Daemon
	client *lease.Client

	// Only the loop touches these.
	slots    slots.Slots
	requests map[string]*leaseRequest // by key, until the lease is released
	retry    map[string]slots.Action

	down        atomic.Bool // written by the loop
	ends        endQueue
	actionCount *prometheus.CounterVec
}

// leaseRequest is the state of a request to take a lease.
type leaseRequest struct {
	settled   bool // answered or given up
	abandoned bool // no longer needed
}

// hostRoom reports the host's free capacity, which is zero while the lease service is down.
type hostRoom struct {
	*slots.Slots
	down *atomic.Bool
}

// Room returns the capacity that can still be assigned.
func (s hostRoom) Room() needs.Vector {
	if s.down.Load() {
		return needs.Vector{}
	}
	return s.Slots.Room()
}

func newLeaseManager(d *Daemon, addr string) *leaseManager {
	m := &leaseManager{
		d: d, client: lease.New(addr), requests: make(map[string]*leaseRequest), retry: make(map[string]slots.Action),
		ends: endQueue{wake: make(chan struct{}, 1), keys: make(map[string]time.Time)},
	}
	m.slots.SetCapacity(d.set.Capacity)
	m.register(d.metrics.registry)
	return m
}

func (m *leaseManager) register(r *prometheus.Registry) {
	m.actionCount = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "persimmonstage_agent_guard_actions_total", Help: "Actions of the guard that the lease service took, by verb.",
	}, []string{"verb"})
	r.MustRegister(m.actionCount, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "persimmonstage_agent_leases_up", Help: "1 while the lease service answers, else 0 and starts are refused.",
	}, func() float64 {
		if m.down.Load() {
			return 0
		}
		return 1
	}))
}

// Take requests a lease on its own goroutine.
func (m *leaseManager) Take(l slots.Lease, until time.Time) {
	if m.down.Load() {
		go m.d.loop.Post(func(now time.Time) { m.d.core.LeaseAnswered(now, l.Key, time.Time{}, leasesDown) })
		return
	}
	m.requests[l.Key] = &leaseRequest{}
	l.Expires = time.Now().Add(leaseTerm)
	go func() {
		got, err := m.client.Take(context.Background(), l, until)
		m.d.loop.Post(func(now time.Time) { m.takeAnswered(now, got, err) })
	}()
}

// takeAnswered passes the answer to the core, or releases the lease if it is no longer needed.
func (m *leaseManager) takeAnswered(now time.Time, l slots.Lease, err error) {
	request := m.requests[l.Key]
	request.settled = true
	if request.abandoned {
		m.End(l.Key)
		return
	}
	if err == nil {
		m.slots.Renew(l.Key, l.Expires)
		m.slots.SetCheckpointing(l.Key, l.Checkpointing)
		m.d.core.LeaseAnswered(now, l.Key, l.Expires, "")
		return
	}
	m.d.core.LeaseAnswered(now, l.Key, time.Time{}, m.refusalReason(err))
}

// refusalReason logs a failed take and returns the refusal reason of its start.
func (m *leaseManager) refusalReason(err error) string {
	var e *lease.Error
	if errors.As(err, &e) && e.Refused() {
		m.d.log.Warn("lease refused", zap.Error(err))
		return leaseRefused
	}
	if !m.down.Swap(true) {
		m.d.log.Warn("lease service does not answer, starts are refused", zap.Error(err))
	}
	return leasesDown
}

// End releases a lease once its take is settled; a lease that was never requested is ignored.
func (m *leaseManager) End(key string) {
	delete(m.retry, key)
	request := m.requests[key]
	switch {
	case request == nil:
		return
	case !request.settled:
		request.abandoned = true
		return
	}
	delete(m.requests, key)
	m.ends.put(key, time.Now().Add(leaseTerm))
}

// run maintains the leases until ctx ends.
func (m *leaseManager) run(ctx context.Context) {
	go m.ends.run(ctx, m.client)
	for ctx.Err() == nil {
		m.round(ctx)
		loop.Sleep(ctx, guardPeriod)
	}
}

// round renews leases, reads their usage and carries out the guard's actions.
func (m *leaseManager) round(ctx context.Context) {
	var due []string
	m.d.loop.Call(ctx, func(now time.Time) { due = m.slots.Expiring(now.Add(renewBefore)) })
	expires := time.Now().Add(leaseTerm)
	var gone []string
	var failed error
	if len(due) > 0 {
		gone, failed = m.client.Renew(due, expires)
	}
	usage, err := m.client.Usage()
	var actions []slots.Action
	m.d.loop.Call(ctx, func(now time.Time) {
		if failed == nil {
			m.renewed(now, due, gone, expires)
		}
		m.report(usage, err)
		actions = m.actions(now)
	})
	m.carryOut(actions)
}

// renewed updates the expiry of leases; a lease that the service no longer has expires now.
func (m *leaseManager) renewed(now time.Time, due, gone []string, expires time.Time) {
	for _, key := range due {
		m.slots.Renew(key, expires)
	}
	for _, key := range gone {
		m.slots.Renew(key, now)
	}
}

func (m *leaseManager) report(usage []lease.Usage, err error) {
	if err != nil {
		return
	}
	if m.down.Swap(false) {
		m.d.log.Info("lease service answers again")
	}
	for _, u := range usage {
		m.slots.Report(u.Key, needs.Vector{Cores: u.Cores, MemoryMB: u.MemoryMB}, u.At)
	}
}

// actions returns the guard's current actions and earlier ones that failed.
func (m *leaseManager) actions(now time.Time) []slots.Action {
	actions := m.slots.Guard(now)
	for _, a := range actions {
		delete(m.retry, a.Key)
	}
	for _, key := range slices.Sorted(maps.Keys(m.retry)) {
		actions = append(actions, m.retry[key])
	}
	clear(m.retry)
	return actions
}

// carryOut sends all actions to the lease service concurrently and waits for the answers.
func (m *leaseManager) carryOut(actions []slots.Action) {
	var wg sync.WaitGroup
	for _, a := range actions {
		wg.Go(func() {
			err := m.client.Act(a)
			if err == nil {
				m.actionCount.WithLabelValues(string(a.Verb)).Inc()
			}
			m.d.log.Info("guard action", zap.String("verb", string(a.Verb)), zap.String("lease", a.Key), zap.String("cause", a.Cause), zap.Error(err))
			m.d.loop.Post(func(now time.Time) { m.actionAnswered(now, a, err) })
		})
	}
	wg.Wait()
}

// actionAnswered ends a task that the platform has stopped; a failed action is retried.
func (m *leaseManager) actionAnswered(now time.Time, a slots.Action, err error) {
	switch {
	case !m.slots.InForce(a.Key):
	case err != nil:
		m.retry[a.Key] = a
	case a.Verb == slots.Stop || a.Verb == slots.Checkpoint:
		m.d.core.LeaseStopped(now, a.Key, a.Cause)
	}
}
