package runs

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// Lease is for how long everything at the target may run without an extension. It is shorter than the time after which
	// callers send a lost job again, so that nothing of the first submission runs beside the second.
	Lease = 600 * time.Millisecond
	// Tenure is for how long an owner's runs go on after the stamp of the last heartbeat that it returned.
	Tenure = 500 * time.Millisecond
	// clockError is the part by which the target's clock may be slow.
	clockError = 0.03
	// extendWithin is how old the target's last answer may be for a call to extend the lease: a call without an answer may be
	// carried out, so a silent target's lease isn't drawn out.
	extendWithin = 200 * time.Millisecond
	// stopAgain is the time between two calls to stop a run that go unanswered.
	stopAgain = 70 * time.Millisecond
	// staleAfter is how long a target must not have answered for an announcement of an earlier birth to replace it: such a one
	// is usually a late message, but the time of day may also have been set back.
	staleAfter = 1500 * time.Millisecond
	// recall is how long ends are kept for owners whose connection was lost.
	recall = 5 * time.Second
)

// How an attempt can end, beside the words of the target.
const (
	NoRoom  = "room"
	Refused = "refused"
	Unknown = "unknown"
	lapsed  = "lapsed"
	stopped = "stopped"
	done    = "done"
	failed  = "failed"
)

// run is one order at the target.
type run struct {
	key      Key
	owner    string
	order    *Order
	state    int
	began    time.Time
	settled  time.Time // when its start was answered or given up
	stopSent time.Time
	barred   time.Time     // when the stop was confirmed
	looked   time.Time     // of the last progress that counted
	forecast time.Duration // the run time that was last told
	counted  time.Duration // the run time that last counted for the pace before its end
	how      string
}

// ended is the end of an attempt, kept for a while.
type ended struct {
	how     string
	ranMS   uint32
	expires time.Time
}

type attemptKey struct {
	owner   string
	attempt uint64
}

// owner is an entry's process.
type owner struct {
	echoed time.Time // stamp of the last heartbeat that it returned
	seen   uint64    // highest attempt ordered
}

// Runs is the table of what runs beside an agent; New makes it.
type Runs struct {
	out      effects
	life     *Instance
	clean    bool // nothing of earlier agents runs at the target
	leaving  bool
	owners   map[string]*owner
	runs     map[Key]*run
	attempts map[attemptKey]*run
	waiting  []waiting // orders that wait for room, in their turn
	ends     map[attemptKey]ended
	numbers  map[string]int // highest number of tasks that ended lately
	unknown  map[Key]time.Time
	answered time.Time // when the target last answered a look
	extended time.Time // when the last call that extends the lease was sent
	ack      int64
	pace     pace
	need     float64 // mean of the thousandths of a core that orders need
}

// New returns an empty table that acts through out.
func New(out effects) *Runs {
	return &Runs{
		out:      out,
		owners:   make(map[string]*owner),
		runs:     make(map[Key]*run),
		attempts: make(map[attemptKey]*run),
		ends:     make(map[attemptKey]ended),
		numbers:  make(map[string]int),
		unknown:  make(map[Key]time.Time),
	}
}

// Len returns the number of runs without an end.
func (r *Runs) Len() int { return len(r.runs) }

// HasAttempts reports whether an owner has runs without an end or orders that wait here.
func (r *Runs) HasAttempts(name string) bool {
	for k := range r.attempts {
		if k.owner == name {
			return true
		}
	}
	return slices.ContainsFunc(r.waiting, func(w waiting) bool { return w.owner == name })
}

// Tick does what is due: runs of silent owners, a lapsed lease, stops that went unanswered.
func (r *Runs) Tick(now time.Time) {
	lapse := !r.extended.IsZero() && now.Sub(r.extended) > Lease+time.Duration(clockError*float64(Lease))
	for _, u := range r.sorted() {
		if lapse {
			u.how = lapsed
			r.step(now, u, onLeaseExpired)
		}
		if now.Sub(r.owner(u.owner).echoed) > Tenure {
			r.step(now, u, onStopRequested)
		}
		if (u.state == stateBarring || u.state == stateStopping) && u.barred.IsZero() && now.Sub(u.stopSent) >= stopAgain {
			r.callStop(now, u)
		}
	}
	r.admit(now)
	for k, e := range r.ends {
		if now.After(e.expires) {
			delete(r.ends, k)
		}
	}
	if len(r.numbers) > maxNumbers {
		clear(r.numbers)
	}
	r.pace.fade(now)
}

// maxNumbers bounds the memory of the numbers of ended tasks; a number that was forgotten is refused by the target as used.
const maxNumbers = 4096

// sorted returns the runs in a fixed order.
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
			r.close(now, u)
		}
	}
}

func (r *Runs) close(now time.Time, u *run) {
	delete(r.runs, u.key)
	ak := attemptKey{u.owner, u.order.Attempt}
	delete(r.attempts, ak)
	ranMS := uint32(now.Sub(u.began).Milliseconds())
	r.out.Closed(u.key, u.owner, u.order.Attempt, u.how, ranMS)
	r.tell(now, ak, u.how, ranMS)
	r.admit(now)
	r.out.Changed()
}

func (r *Runs) tell(now time.Time, k attemptKey, how string, ranMS uint32) {
	r.ends[k] = ended{how: how, ranMS: ranMS, expires: now.Add(recall)}
	r.out.Ended(k.owner, k.attempt, how, ranMS)
}
