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
	// renewBefore is how long before its end a lease is renewed; a short outage of the service falls in between.
	renewBefore = 7 * time.Second
	endRetry    = 200 * time.Millisecond
)

// Reasons of a start that got no lease.
const (
	leaseRefused = "lease-refused"
	leasesDown   = "lease-service-down"
)

// keeper holds the leases of the tasks at the target: it takes one for each start, renews them, reports their usage to the
// host's slots, and carries out what the guard asks for.
//
// A lease is ended only when its take has been answered or given up, so that the end never overtakes the take. While a take
// was given up and nothing was answered since, further starts are refused at once.
type keeper struct {
	d      *Daemon
	client *lease.Client

	// Only the loop touches these.
	slots slots.Slots
	asked map[string]*asked // by key, until the lease is given back
	retry map[string]slots.Action

	down atomic.Bool // written by the loop
	ends ends
	acts *prometheus.CounterVec
}

// asked is a lease that the service was asked for.
type asked struct {
	settled bool // answered or given up
	over    bool // nothing wants it any more
}

// space is the room of the host, of which there is none while the lease service is down.
type space struct {
	*slots.Slots
	down *atomic.Bool
}

// Room returns what can still be given away.
func (s space) Room() needs.Vector {
	if s.down.Load() {
		return needs.Vector{}
	}
	return s.Slots.Room()
}

func newKeeper(d *Daemon, addr string) *keeper {
	k := &keeper{
		d: d, client: lease.New(addr), asked: make(map[string]*asked), retry: make(map[string]slots.Action),
		ends: ends{wake: make(chan struct{}, 1), keys: make(map[string]time.Time)},
	}
	k.slots.SetCapacity(d.set.Capacity)
	k.register(d.metrics.registry)
	return k
}

func (k *keeper) register(r *prometheus.Registry) {
	k.acts = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "persimmonstage_agent_guard_actions_total", Help: "Actions of the guard that the lease service took, by verb.",
	}, []string{"verb"})
	r.MustRegister(k.acts, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "persimmonstage_agent_leases_up", Help: "1 while the lease service answers, else 0 and starts are refused.",
	}, func() float64 {
		if k.down.Load() {
			return 0
		}
		return 1
	}))
}

// Take asks for a lease on a goroutine of its own.
func (k *keeper) Take(l slots.Lease, until time.Time) {
	if k.down.Load() {
		go k.d.loop.Post(func(now time.Time) { k.d.core.LeaseAnswered(now, l.Key, time.Time{}, leasesDown) })
		return
	}
	k.asked[l.Key] = &asked{}
	l.Expires = time.Now().Add(leaseTerm)
	go func() {
		got, err := k.client.Take(context.Background(), l, until)
		k.d.loop.Post(func(now time.Time) { k.taken(now, got, err) })
	}()
}

// taken hands the answer to the core, or gives the lease back if nothing wants it any more.
func (k *keeper) taken(now time.Time, l slots.Lease, err error) {
	ask := k.asked[l.Key]
	ask.settled = true
	if ask.over {
		k.End(l.Key)
		return
	}
	if err == nil {
		k.slots.Renew(l.Key, l.Expires)
		k.slots.SetCheckpointing(l.Key, l.Checkpointing)
		k.d.core.LeaseAnswered(now, l.Key, l.Expires, "")
		return
	}
	k.d.core.LeaseAnswered(now, l.Key, time.Time{}, k.failed(err))
}

// failed gives the reason of a start that got no lease.
func (k *keeper) failed(err error) string {
	var e *lease.Error
	if errors.As(err, &e) && e.Refused() {
		k.d.log.Warn("lease refused", zap.Error(err))
		return leaseRefused
	}
	if !k.down.Swap(true) {
		k.d.log.Warn("lease service gives no answer, starts are refused", zap.Error(err))
	}
	return leasesDown
}

// End gives a lease back, once its take is settled; one that was never asked for needs no end.
func (k *keeper) End(key string) {
	delete(k.retry, key)
	ask := k.asked[key]
	switch {
	case ask == nil:
		return
	case !ask.settled:
		ask.over = true
		return
	}
	delete(k.asked, key)
	k.ends.put(key, time.Now().Add(leaseTerm))
}

// run keeps the leases until ctx ends.
func (k *keeper) run(ctx context.Context) {
	go k.ends.run(ctx, k.client)
	for ctx.Err() == nil {
		k.round(ctx)
		loop.Sleep(ctx, guardPeriod)
	}
}

// round renews, reads the usage and lets the guard act.
func (k *keeper) round(ctx context.Context) {
	var due []string
	k.d.loop.Call(ctx, func(now time.Time) { due = k.slots.Expiring(now.Add(renewBefore)) })
	expires := time.Now().Add(leaseTerm)
	var gone []string
	var failed error
	if len(due) > 0 {
		gone, failed = k.client.Renew(due, expires)
	}
	usage, err := k.client.Usage()
	var actions []slots.Action
	k.d.loop.Call(ctx, func(now time.Time) {
		if failed == nil {
			k.renewed(now, due, gone, expires)
		}
		k.report(usage, err)
		actions = k.actions(now)
	})
	k.act(actions)
}

// renewed moves the ends of leases; one that the service has no more has lapsed.
func (k *keeper) renewed(now time.Time, due, gone []string, expires time.Time) {
	for _, key := range due {
		k.slots.Renew(key, expires)
	}
	for _, key := range gone {
		k.slots.Renew(key, now)
	}
}

func (k *keeper) report(usage []lease.Usage, err error) {
	if err != nil {
		return
	}
	if k.down.Swap(false) {
		k.d.log.Info("lease service answers again")
	}
	for _, u := range usage {
		k.slots.Report(u.Key, needs.Vector{Cores: u.Cores, MemoryMB: u.MemoryMB}, u.At)
	}
}

// actions gives what the guard asks for now, and what it asked for earlier without an answer.
func (k *keeper) actions(now time.Time) []slots.Action {
	actions := k.slots.Guard(now)
	for _, a := range actions {
		delete(k.retry, a.Key)
	}
	for _, key := range slices.Sorted(maps.Keys(k.retry)) {
		actions = append(actions, k.retry[key])
	}
	clear(k.retry)
	return actions
}

// act asks the service for all actions at once and waits for the answers.
func (k *keeper) act(actions []slots.Action) {
	var wg sync.WaitGroup
	for _, a := range actions {
		wg.Go(func() {
			err := k.client.Act(a)
			if err == nil {
				k.acts.WithLabelValues(string(a.Verb)).Inc()
			}
			k.d.log.Info("guard acts", zap.String("verb", string(a.Verb)), zap.String("lease", a.Key), zap.String("cause", a.Cause), zap.Error(err))
			k.d.loop.Post(func(now time.Time) { k.acted(now, a, err) })
		})
	}
	wg.Wait()
}

// acted ends a task that the platform has stopped; an action without an answer is asked for again.
func (k *keeper) acted(now time.Time, a slots.Action, err error) {
	switch {
	case !k.slots.InForce(a.Key):
	case err != nil:
		k.retry[a.Key] = a
	case a.Verb == slots.Stop || a.Verb == slots.Checkpoint:
		k.d.core.LeaseStopped(now, a.Key, a.Cause)
	}
}
