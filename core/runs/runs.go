package runs

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"persimmonstage/core/evac"
	"persimmonstage/core/pairs"
)

const (
	// Lease is how long tasks may run at the target without an extension. It is shorter than the time after which callers
	// resubmit a lost job, so that no task of the first submission runs concurrently with the second.
	Lease = 600 * time.Millisecond
	// Tenure is how long an owner's runs continue after the stamp of the last heartbeat that it returned.
	Tenure = 500 * time.Millisecond
	// stopTime is how long after the tenure of a run's owner the lease is still extended while the target hasn't confirmed the stop.
	stopTime = 100 * time.Millisecond
	// withdrawTime is the same after the owner's own stop; it covers a stop that is repeated on a new connection.
	withdrawTime = 150 * time.Millisecond
	// Expiry is how long after the loss of its connection an owner's attempts may still run: until the tenure is over and then, if
	// the target doesn't confirm the stop, until the lease has ended. Callers resubmit a lost job after 1,300 ms.
	Expiry = Tenure + stopTime + Lease + 50*time.Millisecond
	// clockError is the fraction by which the target's clock may be slow.
	clockError = 0.03
	// extendWithin is the maximum age of the target's last answer for a call to extend the lease: a call may take effect without
	// an answer, so the lease of a target that doesn't answer must not be extended.
	extendWithin = 200 * time.Millisecond
	// maxPollTime is the most time that a poll takes, which waits for up to 120 ms, and maxStartTime that of a start, which is called again
	// for up to 140 ms.
	maxPollTime  = 150 * time.Millisecond
	maxStartTime = 200 * time.Millisecond
	// stopRetryPeriod is the time after which an unanswered call to stop a run is repeated.
	stopRetryPeriod = 70 * time.Millisecond
	// leaveTime is how long a target may take to end after it has announced that.
	leaveTime = 500 * time.Millisecond
	// endRetention is how long ends are kept for owners that reconnect.
	endRetention = 5 * time.Second
)

// Ends of an attempt, besides others that the target may report.
const (
	NoRoom  = "room"
	Refused = "refused"
	Unknown = "unknown"
	Crashed = "crashed" // the target's process ended while the attempt ran
	// Unreachable ends an attempt whose start couldn't be called, as the connection to the target was refused.
	Unreachable = "unreachable"
	lapsed      = "lapsed"
	stopped     = "stopped"
	done        = "done"
	failed      = "failed"
)

// run is an order that was sent to the target and hasn't ended.
type run struct {
	key            Key
	owner          string
	order          *Order
	state          int
	began          time.Time
	startSettled   time.Time // when the start was answered or timed out
	begun          bool      // the target has accepted or listed it
	extendUntil    time.Time // until when the lease is extended for it although it should end; zero if it may run
	abandoned      bool      // its owner counts it as ended
	stopSent       time.Time
	stopConfirmed  time.Time     // when the target confirmed the stop
	progressAt     time.Time     // when the progress was last evaluated
	lastForecast   time.Duration // the run time that was last reported to the owner
	countedRunTime time.Duration // the run time that was last learned for the pace before the end
	how            string
}

// attemptEnd is the end of an attempt, kept until it expires.
type attemptEnd struct {
	how     string
	ranMS   uint32
	expires time.Time
	beside  []pairs.Share
}

type attemptKey struct {
	owner   string
	attempt uint64
}

// owner is the process of an entry.
type owner struct {
	lastEcho time.Time // stamp of the last heartbeat that it returned
	seen     uint64    // highest attempt ordered
}

// Runs is the table of the runs at an agent's target; create it with New.
type Runs struct {
	out          effects
	instance     *Instance
	departed     *Instance // the last instance that left
	process      uint64    // number of the instance among those that the target had here
	confirmed    bool      // its own list has shown that the instance is the process there
	setAside     *Instance // the latest announcement of the target that wasn't applied
	successor    successor
	clean        bool // nothing that earlier processes of the agent started runs at the target
	established  bool // clean since the agent started
	leaving      bool
	owners       map[string]*owner
	runs         map[Key]*run
	attempts     map[attemptKey]*run
	waiting      []waitingOrder // orders that wait for room, oldest first
	ends         map[attemptKey]attemptEnd
	lastNumbers  map[string]int // last run number of each recent task
	unknownStops map[Key]time.Time
	lastAnswer   time.Time // when the target last answered a poll or accepted a start
	brokenAt     time.Time // when the first connection broke since the last answer
	leftAt       time.Time // when the target announced its end; zero if it didn't
	refused      bool      // a connection was refused since the last answer
	listedClock  int64     // the target's clock in the newest list that was processed
	listedAt     time.Time // when that list was processed
	lastExtended time.Time // when the last call that extends the lease was sent
	ack          int64
	pace         pace
	failing      failing
	meanNeed     float64 // mean millicores that an order needs
	// Which data centres are evacuated, and the agent's own one.
	evacuations   *evac.Table
	ownDataCentre string
	recording     bool // what runs beside each run is recorded
	recent        []recentRun
}

// New returns an empty table whose decisions are executed by out.
func New(out effects) *Runs {
	return &Runs{
		out:          out,
		owners:       make(map[string]*owner),
		runs:         make(map[Key]*run),
		attempts:     make(map[attemptKey]*run),
		ends:         make(map[attemptKey]attemptEnd),
		lastNumbers:  make(map[string]int),
		unknownStops: make(map[Key]time.Time),
	}
}

// Len returns the number of runs that haven't ended.
func (r *Runs) Len() int { return len(r.runs) }

// HasAttempts reports whether an owner has runs that haven't ended or orders that wait here.
func (r *Runs) HasAttempts(name string) bool {
	for k := range r.attempts {
		if k.owner == name {
			return true
		}
	}
	return slices.ContainsFunc(r.waiting, func(w waitingOrder) bool { return w.owner == name })
}

// Tick handles timeouts: it ends runs whose lease has expired, stops runs of silent owners, and repeats unanswered stops.
func (r *Runs) Tick(now time.Time) {
	leaseExpired := !r.lastExtended.IsZero() && now.Sub(r.lastExtended) > Lease+time.Duration(clockError*float64(Lease))
	if leaseExpired && len(r.runs) > 0 && r.unreachable(now) {
		r.giveUp(now)
	}
	for _, u := range r.sorted() {
		if leaseExpired {
			u.how = lapsed
			r.step(now, u, onLeaseExpired)
		}
		if echo := r.owner(u.owner).lastEcho; now.Sub(echo) > Tenure {
			r.requestStop(now, u, echo.Add(Tenure+stopTime))
		}
		if u.order.isOver(now) {
			r.requestStop(now, u, u.order.StopBy.Add(stopTime))
		}
		if (u.state == stateBarring || u.state == stateStopping) && u.stopConfirmed.IsZero() && now.Sub(u.stopSent) >= stopRetryPeriod {
			r.callStop(now, u)
		}
	}
	r.removeLeft(now)
	r.succeed(now)
	r.expireSuccessor(now)
	r.startWaiting(now)
	for k, e := range r.ends {
		if now.After(e.expires) {
			delete(r.ends, k)
		}
	}
	if len(r.lastNumbers) > maxNumbers {
		clear(r.lastNumbers)
	}
	r.pace.decay(now)
	if r.failing.decay(now) {
		r.out.Changed()
	}
}

// maxNumbers bounds the number of tasks whose last run number is kept. If a forgotten number is used again, the target refuses
// it.
const maxNumbers = 4096

// sorted returns the runs by owner and attempt, for a deterministic order.
func (r *Runs) sorted() []*run {
	list := slices.Collect(maps.Values(r.runs))
	slices.SortFunc(list, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.owner, b.owner), cmp.Compare(a.order.Attempt, b.order.Attempt))
	})
	return list
}

func (r *Runs) step(now time.Time, u *run, event int) {
	if runChart.FinalID(u.state) {
		return
	}
	next, actions := runChart.Step(u.state, event)
	u.state = next
	for _, a := range actions {
		switch a {
		case stop:
			r.callStop(now, u)
		case report:
			r.closeRun(now, u)
		}
	}
}

func (r *Runs) closeRun(now time.Time, u *run) {
	delete(r.runs, u.key)
	ak := attemptKey{u.owner, u.order.Attempt}
	delete(r.attempts, ak)
	ranMS := uint32(now.Sub(u.began).Milliseconds())
	r.out.Closed(u.key, u.owner, u.order.Attempt, u.how, ranMS)
	r.reportEnd(now, ak, attemptEnd{how: u.how, ranMS: ranMS, beside: r.besideRun(now, u)})
	r.keepRecent(now, u)
	r.startWaiting(now)
	r.out.Changed()
}

// reportEnd keeps the end of an attempt and reports it to its owner.
func (r *Runs) reportEnd(now time.Time, k attemptKey, e attemptEnd) {
	e.expires = now.Add(endRetention)
	r.ends[k] = e
	r.out.Ended(k.owner, k.attempt, e.how, e.ranMS)
}
