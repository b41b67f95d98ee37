package agent

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"persimmonstage/core/jobkey"
	"persimmonstage/core/ledger"
	"persimmonstage/core/load"
	"persimmonstage/core/needs"
	"persimmonstage/core/order"
	"persimmonstage/core/queue"
	"persimmonstage/core/rank"
	"persimmonstage/core/result"
	"persimmonstage/core/timers"
)

const (
	// grantLifetime is how long capacity is held for an owner that was granted it.
	grantLifetime = 250 * time.Millisecond
	// voidLifetime is how long a withdrawn attempt that never arrived is kept out.
	voidLifetime = 11 * time.Minute
	// recordMargin is how long an attempt is remembered after its deadline.
	recordMargin = 30 * time.Second
)

// Reasons of a refusal.
const (
	Withdrawn    = "withdrawn"
	Leaving      = "leaving"
	Expired      = "expired"
	TooLarge     = "too-large"
	GrantTimeout = "grant-timeout"
	// Busy is the reason of an order whose expected wait here passes the bound that it carries.
	Busy = "busy"
	// OutputDropped is the reason of a result whose output the ledger gave up for want of room.
	OutputDropped = "output-dropped"
)

type attemptKey struct {
	owner string
	id    uint64
}

// attempt is an order or reservation; it is kept after its end until the deadline has passed, so that a late or
// doubled message about it is never taken for a new one.
type attempt struct {
	key    attemptKey
	state  int
	order  *order.Order
	item   queue.Item[*attempt]
	popped time.Time
	began  time.Time
	reason string
	leased bool // a lease was asked for
	result *result.Result
}

// Agent holds what waits and runs beside a target.
type Agent struct {
	out      effects
	fence    fence
	starts   starts
	room     room
	leases   leases // nil if starts need none
	capacity needs.Vector

	queue    queue.Queue[*attempt]
	attempts map[attemptKey]*attempt
	running  map[string]*attempt
	leased   map[string]*attempt // by the key of their lease
	voids    map[attemptKey]bool
	grants   timers.Timers[*attempt]
	expiry   timers.Timers[attemptKey]
	held     needs.Vector
	byOwner  map[string]*share
	leaving  bool
	urgency  func(team, kind string) int
}

// share is what one owner has at the agent, running and queued, by class.
type share struct {
	loads [rank.Classes]load.Load
	tasks int
}

// New returns an agent of a target with the given capacity.
func New(out effects, f fence, s starts, capacity needs.Vector) *Agent {
	a := &Agent{
		out: out, fence: f, starts: s, capacity: capacity,
		attempts: make(map[attemptKey]*attempt),
		running:  make(map[string]*attempt),
		leased:   make(map[string]*attempt),
		voids:    make(map[attemptKey]bool),
		byOwner:  make(map[string]*share),
	}
	a.room = plain{a}
	return a
}

// SetWeight sets the weight of a kind inside its team, or of the team when kind is empty.
func (a *Agent) SetWeight(team, kind string, weight int64) {
	a.queue.SetWeight(team, kind, weight)
}

// SetUrgency sets how the place of a kind inside its team's share is found; higher goes first.
func (a *Agent) SetUrgency(urgency func(team, kind string) int) { a.urgency = urgency }

// Leave refuses everything that has not started, from now on.
func (a *Agent) Leave(now time.Time) {
	a.leaving = true
	for _, at := range a.attempts {
		a.bar(now, at, Leaving)
	}
}

// Leaving reports whether the agent refuses new work.
func (a *Agent) Leaving() bool { return a.leaving }

// Running gives the number of tasks in the target.
func (a *Agent) Running() int { return len(a.running) }

// Queued gives the number of waiting orders and reservations.
func (a *Agent) Queued() int { return a.queue.Len() }

// LoadOfOthers gives what every owner but one has here, running and queued, by class, and what nobody can have besides: owners count
// their own work by its declared needs.
func (a *Agent) LoadOfOthers(owner string) [rank.Classes]load.Load {
	var sum [rank.Classes]load.Load
	sum[0].Held = a.capacity.Sub(a.held).Sub(a.room.Room()).Max(needs.Vector{})
	for name, s := range a.byOwner {
		if name == owner {
			continue
		}
		for c := range sum {
			sum[c] = sum[c].Add(s.loads[c])
		}
	}
	return sum
}

// Order takes an owner's order to start a task, or the payload of a granted reservation.
func (a *Agent) Order(now time.Time, owner string, o *order.Order) {
	key := attemptKey{owner, o.Attempt}
	if at := a.attempts[key]; at != nil {
		if at.state == stateGranted {
			at.order = o
			a.startGranted(now, at)
		}
		return
	}
	a.arrive(now, a.enter(key, o), onOrder)
}

// Reserve takes an owner's wish for a grant when the attempt's turn has come.
func (a *Agent) Reserve(now time.Time, owner string, o *order.Order) {
	key := attemptKey{owner, o.Attempt}
	if a.attempts[key] == nil {
		a.arrive(now, a.enter(key, o), onReserve)
	}
}

func (a *Agent) enter(key attemptKey, o *order.Order) *attempt {
	at := &attempt{key: key, state: attemptChart.InitialID(), order: o}
	a.attempts[key] = at
	a.expiry.Add(o.Deadline.Add(recordMargin), key)
	return at
}

func (a *Agent) arrive(now time.Time, at *attempt, event int) {
	if _, started := a.starts.Task(at.ledgerKey(), at.order.Shard); started {
		a.step(now, at, onKnown)
		return
	}
	if reason := a.barred(now, at); reason != "" {
		a.bar(now, at, reason)
		return
	}
	a.step(now, at, event)
	a.Dispatch(now)
}

// barred gives the reason why an attempt may not wait or start here, if there is one.
func (a *Agent) barred(now time.Time, at *attempt) string {
	if a.voids[at.key] {
		delete(a.voids, at.key)
		return Withdrawn
	}
	if a.leaving {
		return Leaving
	}
	if need := at.order.Needs.FirstExceeding(a.capacity); need != "" {
		return TooLarge
	}
	if a.busy(now, at.order) {
		return Busy
	}
	return a.late(now, at)
}

// Withdraw refuses an owner's attempts that have not started, also those that have not arrived yet.
func (a *Agent) Withdraw(now time.Time, owner string, ids []uint64) {
	for _, id := range ids {
		a.void(now, attemptKey{owner, id})
	}
	a.Dispatch(now)
}

// Query settles attempts whose answers may be lost: one that never arrived is refused for good, one that has ended is
// answered again, one that waits or runs stays.
func (a *Agent) Query(now time.Time, owner string, ids []uint64) {
	for _, id := range ids {
		key := attemptKey{owner, id}
		at := a.attempts[key]
		switch {
		case at == nil:
			a.void(now, key)
		case attemptChart.FinalID(at.state):
			a.again(at)
		}
	}
}

// Repeat tells an owner how a task ended that was started here for an earlier owner.
func (a *Agent) Repeat(owner string, shard int, key jobkey.Key, index int) {
	a.tell(owner, shard, &result.Result{Key: key, Index: index})
}

// void refuses an attempt unless it has started; one that has ended is answered again.
func (a *Agent) void(now time.Time, key attemptKey) {
	at := a.attempts[key]
	switch {
	case at == nil:
		a.voids[key] = true
		a.expiry.Add(now.Add(voidLifetime), key)
		a.out.Refuse(key.owner, key.id, Withdrawn)
	case attemptChart.FinalID(at.state):
		a.again(at)
	default:
		a.bar(now, at, Withdrawn)
	}
}

// again repeats the answer of an attempt that has ended or was refused.
func (a *Agent) again(at *attempt) {
	if at.state == stateEnded {
		a.repeat(at)
		return
	}
	a.out.Refuse(at.key.owner, at.key.id, at.reason)
}

func (a *Agent) bar(now time.Time, at *attempt, reason string) {
	at.reason = reason
	a.step(now, at, onBar)
}

// Ended takes the end of a running task from the target.
func (a *Agent) Ended(now time.Time, r *result.Result) {
	at := a.running[taskName(r)]
	if at == nil {
		return
	}
	r.Attempt = at.key.id
	at.result = r
	a.step(now, at, onEnd)
	a.Dispatch(now)
}

// Tick refuses what has expired and frees capacity that was granted in vain.
func (a *Agent) Tick(now time.Time) {
	for _, item := range a.queue.Expire(now) {
		a.bar(now, item.Value, Expired)
	}
	for {
		at, ok := a.grants.Due(now)
		if !ok {
			break
		}
		if at.state == stateGranted {
			a.bar(now, at, GrantTimeout)
		}
	}
	for {
		key, ok := a.expiry.Due(now)
		if !ok {
			break
		}
		a.forget(key)
	}
	a.Dispatch(now)
}

// forget drops an attempt past its time; one that still runs stays until it has ended.
func (a *Agent) forget(key attemptKey) {
	delete(a.voids, key)
	if at := a.attempts[key]; at != nil && at.state != stateStarted {
		delete(a.attempts, key)
	}
}

// Dispatch gives free capacity to what waits, by the queue's order.
func (a *Agent) Dispatch(now time.Time) {
	for {
		item, ok := a.queue.Pop(a.fits)
		if !ok {
			return
		}
		at := item.Value
		at.item, at.popped = item, now
		a.turn(now, at)
	}
}

// turn gives an attempt its capacity.
func (a *Agent) turn(now time.Time, at *attempt) { a.begin(now, at, onTurn) }

// begin takes the event that starts or grants an attempt; the order's lease comes before it, where one is needed.
func (a *Agent) begin(now time.Time, at *attempt, event int) {
	if a.leases != nil && at.state != stateReserved {
		a.askLease(now, at)
		return
	}
	a.record(now, at, event)
}

// record takes the event that starts or grants an attempt; an order is recorded as started first, and is not started if it
// can't be.
func (a *Agent) record(now time.Time, at *attempt, event int) {
	switch reason, known := a.claim(now, at); {
	case known:
		a.step(now, at, onKnown)
	case reason != "":
		a.bar(now, at, reason)
	default:
		a.step(now, at, event)
	}
}

// claim records the start of an order; it gives the reason why it may not start, or that it has started before.
func (a *Agent) claim(now time.Time, at *attempt) (reason string, known bool) {
	if reason := a.late(now, at); reason != "" {
		return reason, false
	}
	if at.state == stateReserved {
		return "", false
	}
	o := at.order
	err := a.starts.Start(now, at.ledgerKey(), o.Shard, ledger.Digest(o.Digest), o.Deadline)
	var refusal *ledger.Refusal
	switch {
	case err == nil:
		return "", false
	case errors.As(err, &refusal) && refusal.Reason == ledger.Duplicate:
		return "", true
	}
	return err.Error(), false
}

func (a *Agent) fits(item *queue.Item[*attempt], _ bool) bool {
	o := item.Value.order
	return a.room.Fits(o.Key.Team, o.Kind, o.Needs)
}

// late gives the reason why an attempt whose turn has come may not start any more.
func (a *Agent) late(now time.Time, at *attempt) string {
	if !now.Before(at.order.Deadline) {
		return Expired
	}
	if err := a.fence.Admit(now, at.order.Shard, at.order.Epoch, at.key.owner); err != nil {
		return err.Error()
	}
	return ""
}

func (a *Agent) startGranted(now time.Time, at *attempt) {
	a.begin(now, at, onOrder)
	a.Dispatch(now)
}

func (at *attempt) ledgerKey() ledger.Key { return ledgerKey(at.order.Key, at.order.Index) }

func ledgerKey(key jobkey.Key, index int) ledger.Key {
	return ledger.Key{Team: key.Team, ID: key.ID, Index: uint32(index)}
}

func orderName(o *order.Order) string {
	return o.Key.String() + "/" + strconv.Itoa(o.Index)
}

func taskName(r *result.Result) string {
	return r.Key.String() + "/" + strconv.Itoa(r.Index)
}
