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
	// grantLifetime is how long capacity is held for the owner of a granted reservation.
	grantLifetime = 250 * time.Millisecond
	// withdrawalLifetime is how long a withdrawn attempt that hasn't arrived yet is refused.
	withdrawalLifetime = 11 * time.Minute
	// recordMargin is how long an attempt is kept after its deadline.
	recordMargin = 30 * time.Second
)

// Reasons of a refusal.
const (
	Withdrawn    = "withdrawn"
	Leaving      = "leaving"
	Expired      = "expired"
	TooLarge     = "too-large"
	GrantTimeout = "grant-timeout"
	// Busy refuses an order whose expected wait here exceeds the order's MaxWait.
	Busy = "busy"
	// OutputDropped is the reason in a result whose output the ledger has dropped to stay within its size limit.
	OutputDropped = "output-dropped"
)

type attemptKey struct {
	owner string
	id    uint64
}

// attempt is an order or a reservation. It is kept after its end until the deadline has passed, so that a late or
// duplicate message is never taken for a new attempt.
type attempt struct {
	key    attemptKey
	state  int
	order  *order.Order
	item   queue.Item[*attempt]
	popped time.Time
	began  time.Time
	reason string
	leased bool // a lease was requested
	result *result.Result
}

// Agent holds the queued and running attempts of one target.
type Agent struct {
	out      effects
	fence    fence
	starts   starts
	room     room
	leases   leases // nil if starts need no lease
	capacity needs.Vector

	queue          queue.Queue[*attempt]
	attempts       map[attemptKey]*attempt
	running        map[string]*attempt
	leased         map[string]*attempt // by lease key
	withdrawnAhead map[attemptKey]bool
	grants         timers.Timers[*attempt]
	expiry         timers.Timers[attemptKey]
	held           needs.Vector
	byOwner        map[string]*share
	leaving        bool
	urgency        func(team, kind string) int
}

// share is the running and queued load of one owner, by class.
type share struct {
	loads [rank.Classes]load.Load
	tasks int
}

// New returns the agent of a target with the given capacity.
func New(out effects, f fence, s starts, capacity needs.Vector) *Agent {
	a := &Agent{
		out: out, fence: f, starts: s, capacity: capacity,
		attempts:       make(map[attemptKey]*attempt),
		running:        make(map[string]*attempt),
		leased:         make(map[string]*attempt),
		withdrawnAhead: make(map[attemptKey]bool),
		byOwner:        make(map[string]*share),
	}
	a.room = declaredRoom{a}
	return a
}

// SetWeight sets the weight of a kind within its team, or of the team if kind is empty.
func (a *Agent) SetWeight(team, kind string, weight int64) {
	a.queue.SetWeight(team, kind, weight)
}

// SetUrgency sets the function that gives a kind's urgency within its team's share; higher goes first.
func (a *Agent) SetUrgency(urgency func(team, kind string) int) { a.urgency = urgency }

// Leave refuses every attempt that has not started and every new one.
func (a *Agent) Leave(now time.Time) {
	a.leaving = true
	for _, at := range a.attempts {
		a.refuse(now, at, Leaving)
	}
}

// Leaving reports whether the agent refuses new work.
func (a *Agent) Leaving() bool { return a.leaving }

// Running returns the number of tasks running in the target.
func (a *Agent) Running() int { return len(a.running) }

// Queued returns the number of queued orders and reservations.
func (a *Agent) Queued() int { return a.queue.Len() }

// LoadOfOthers returns the load of every owner except one, by class. Class 0 includes the room that corrected sizes take beyond
// the declared needs, since owners count their own work by its declared needs.
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

// Order handles an owner's order to start a task, or the payload for a granted reservation.
func (a *Agent) Order(now time.Time, owner string, o *order.Order) {
	key := attemptKey{owner, o.Attempt}
	if at := a.attempts[key]; at != nil {
		if at.state == stateGranted {
			at.order = o
			a.startGranted(now, at)
		}
		return
	}
	a.arrive(now, a.addAttempt(key, o), onOrder)
}

// Reserve queues an owner's reservation, which is granted when its turn comes.
func (a *Agent) Reserve(now time.Time, owner string, o *order.Order) {
	key := attemptKey{owner, o.Attempt}
	if a.attempts[key] == nil {
		a.arrive(now, a.addAttempt(key, o), onReserve)
	}
}

func (a *Agent) addAttempt(key attemptKey, o *order.Order) *attempt {
	at := &attempt{key: key, state: attemptChart.InitialID(), order: o}
	a.attempts[key] = at
	a.expiry.Add(o.Deadline.Add(recordMargin), key)
	return at
}

func (a *Agent) arrive(now time.Time, at *attempt, event int) {
	if _, started := a.starts.Task(at.ledgerKey(), at.order.Shard); started {
		a.step(now, at, onAlreadyStarted)
		return
	}
	if reason := a.refusalReason(now, at); reason != "" {
		a.refuse(now, at, reason)
		return
	}
	a.step(now, at, event)
	a.Dispatch(now)
}

// refusalReason returns the reason why an attempt may not wait or start here, or "".
func (a *Agent) refusalReason(now time.Time, at *attempt) string {
	if a.withdrawnAhead[at.key] {
		delete(a.withdrawnAhead, at.key)
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
	return a.lateReason(now, at)
}

// Withdraw refuses an owner's attempts that have not started, including those that have not arrived yet.
func (a *Agent) Withdraw(now time.Time, owner string, ids []uint64) {
	for _, id := range ids {
		a.withdraw(now, attemptKey{owner, id})
	}
	a.Dispatch(now)
}

// Query resolves attempts whose answers may be lost: one that never arrived is refused permanently, the answer of one that has
// ended is repeated, and one that is queued or running is left alone.
func (a *Agent) Query(now time.Time, owner string, ids []uint64) {
	for _, id := range ids {
		key := attemptKey{owner, id}
		at := a.attempts[key]
		switch {
		case at == nil:
			a.withdraw(now, key)
		case attemptChart.FinalID(at.state):
			a.repeatAnswer(at)
		}
	}
}

// Repeat sends an owner the result of a task that was started here for an earlier owner.
func (a *Agent) Repeat(owner string, shard int, key jobkey.Key, index int) {
	a.sendResult(owner, shard, &result.Result{Key: key, Index: index})
}

// withdraw refuses an attempt unless it has started; the answer of one that has ended is repeated.
func (a *Agent) withdraw(now time.Time, key attemptKey) {
	at := a.attempts[key]
	switch {
	case at == nil:
		a.withdrawnAhead[key] = true
		a.expiry.Add(now.Add(withdrawalLifetime), key)
		a.out.Refuse(key.owner, key.id, Withdrawn)
	case attemptChart.FinalID(at.state):
		a.repeatAnswer(at)
	default:
		a.refuse(now, at, Withdrawn)
	}
}

// repeatAnswer repeats the answer of an attempt that has ended or was refused.
func (a *Agent) repeatAnswer(at *attempt) {
	if at.state == stateEnded {
		a.repeat(at)
		return
	}
	a.out.Refuse(at.key.owner, at.key.id, at.reason)
}

func (a *Agent) refuse(now time.Time, at *attempt, reason string) {
	at.reason = reason
	a.step(now, at, onRefuse)
}

// Ended handles the end of a running task.
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

// Tick refuses expired attempts and frees the capacity of grants that were not used in time.
func (a *Agent) Tick(now time.Time) {
	for _, item := range a.queue.Expire(now) {
		a.refuse(now, item.Value, Expired)
	}
	for {
		at, ok := a.grants.PopDue(now)
		if !ok {
			break
		}
		if at.state == stateGranted {
			a.refuse(now, at, GrantTimeout)
		}
	}
	for {
		key, ok := a.expiry.PopDue(now)
		if !ok {
			break
		}
		a.forget(key)
	}
	a.Dispatch(now)
}

// forget drops an expired attempt; one that is still running stays until it has ended.
func (a *Agent) forget(key attemptKey) {
	delete(a.withdrawnAhead, key)
	if at := a.attempts[key]; at != nil && at.state != stateStarted {
		delete(a.attempts, key)
	}
}

// Dispatch gives free capacity to queued attempts, in the order of the queue.
func (a *Agent) Dispatch(now time.Time) {
	for {
		item, ok := a.queue.Pop(a.fits)
		if !ok {
			return
		}
		at := item.Value
		at.item, at.popped = item, now
		a.takeTurn(now, at)
	}
}

// takeTurn starts or grants the attempt that was next in the queue.
func (a *Agent) takeTurn(now time.Time, at *attempt) { a.begin(now, at, onTurn) }

// begin starts or grants an attempt, or first requests a lease if the order needs one.
func (a *Agent) begin(now time.Time, at *attempt, event int) {
	if a.leases != nil && at.state != stateReserved {
		a.askLease(now, at)
		return
	}
	a.startOrGrant(now, at, event)
}

// startOrGrant applies the event that starts or grants an attempt. The start of an order is recorded first; an order whose start
// can't be recorded is not started.
func (a *Agent) startOrGrant(now time.Time, at *attempt, event int) {
	switch reason, started := a.recordStart(now, at); {
	case started:
		a.step(now, at, onAlreadyStarted)
	case reason != "":
		a.refuse(now, at, reason)
	default:
		a.step(now, at, event)
	}
}

// recordStart records the start of an order. It returns the reason why the order may not start, or that it was started before.
func (a *Agent) recordStart(now time.Time, at *attempt) (reason string, started bool) {
	if reason := a.lateReason(now, at); reason != "" {
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

// lateReason returns the reason why an attempt may no longer start, or "".
func (a *Agent) lateReason(now time.Time, at *attempt) string {
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
