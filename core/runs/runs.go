package runs

import (
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
	Room    = "room"
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
	life     *Life
	clean    bool // nothing of earlier agents runs at the target
	leaving  bool
	owners   map[string]*owner
	runs     map[Key]*run
	attempts map[attemptKey]*run
	ends     map[attemptKey]ended
	numbers  map[string]int // highest number of tasks that ended lately
	foreign  map[Key]time.Time
	answered time.Time // when the target last answered a look
	extended time.Time // when the last call that extends the lease was sent
	ack      int64
	pace     pace
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
		foreign:  make(map[Key]time.Time),
	}
}

// Announced takes the target's word of itself and reports whether it is a new life, of which nothing is known.
func (r *Runs) Announced(now time.Time, l *Life) bool {
	if r.life != nil && r.life.same(l) {
		if l.Sequence < r.life.Sequence {
			return false
		}
		changed := r.life.Draining != l.Draining
		r.life = l
		if changed {
			r.out.Changed()
		}
		return false
	}
	if r.life != nil && l.Born < r.life.Born && now.Sub(r.answered) <= staleAfter {
		return false
	}
	r.life = l
	r.rebirth(now)
	return true
}

// rebirth ends all runs of the target's earlier life.
func (r *Runs) rebirth(now time.Time) {
	r.clean, r.ack, r.answered, r.extended = false, 0, time.Time{}, time.Time{}
	r.pace = pace{}
	clear(r.foreign)
	for _, u := range r.sorted() {
		u.how = lapsed
		r.step(now, u, onReborn)
	}
	r.out.Changed()
}

// Down notes that nothing listens at the target's address any more: what ran there has ended with its process.
func (r *Runs) Down(now time.Time) {
	if r.life != nil {
		r.rebirth(now)
	}
}

// Gone notes that the target has left for good.
func (r *Runs) Gone(now time.Time) {
	if r.life == nil {
		return
	}
	r.life = nil
	r.rebirth(now)
}

// Life returns the target's present life, nil if there is none.
func (r *Runs) Life() *Life { return r.life }

// Leave refuses everything from now on; what runs goes on.
func (r *Runs) Leave() {
	r.leaving = true
	r.out.Changed()
}

// Len returns the number of runs without an end.
func (r *Runs) Len() int { return len(r.runs) }

// Clean reports whether nothing of earlier processes of the agent can run at the target.
func (r *Runs) Clean() bool { return r.clean }

// Heard takes an owner's echo of a heartbeat with its stamp.
func (r *Runs) Heard(name string, stamp time.Time) {
	o := r.owner(name)
	if stamp.After(o.echoed) {
		o.echoed = stamp
	}
}

func (r *Runs) owner(name string) *owner {
	o := r.owners[name]
	if o == nil {
		o = &owner{}
		r.owners[name] = o
	}
	return o
}

// Sync tells an owner that connected again the ends that it may have missed: of every attempt of its list that isn't here.
func (r *Runs) Sync(name string, open []uint64) {
	for _, id := range open {
		k := attemptKey{name, id}
		if r.attempts[k] != nil {
			continue
		}
		e, ok := r.ends[k]
		if !ok {
			e.how = Unknown
		}
		r.out.Ended(name, id, e.how, e.ranMS)
	}
}

// Order starts a task or refuses it at once.
func (r *Runs) Order(now time.Time, name string, o *Order) {
	w := r.owner(name)
	w.seen = max(w.seen, o.Attempt)
	ak := attemptKey{name, o.Attempt}
	if r.attempts[ak] != nil {
		return
	}
	if how := r.barred(now, w, o); how != "" {
		r.tell(now, ak, how, 0)
		return
	}
	if n := r.numbers[o.Task]; o.Number <= n {
		o.Number = n + 1
	}
	k := Key{o.Task, o.Number}
	r.numbers[o.Task] = o.Number
	u := &run{key: k, owner: name, order: o, state: runChart.InitialID(), began: now}
	r.runs[k] = u
	r.attempts[ak] = u
	until := r.extend(now)
	r.out.Start(k, o, until)
	r.out.Changed()
}

// barred returns why an order may not be started, if that is so.
func (r *Runs) barred(now time.Time, w *owner, o *Order) string {
	if !r.usable(now) || now.Sub(w.echoed) > Tenure {
		return Refused
	}
	for _, u := range r.runs {
		if u.key.Task == o.Task {
			return Refused
		}
	}
	cpu, mem := r.used()
	if cpu+o.Millicores > r.life.Millicores || mem+o.MemoryMB > r.life.MemoryMB {
		return Room
	}
	return ""
}

// usable reports whether the target may get work.
func (r *Runs) usable(now time.Time) bool {
	return r.life != nil && r.clean && !r.leaving && !r.life.Draining && now.Sub(r.answered) <= extendWithin
}

func (r *Runs) used() (millicores, memoryMB uint64) {
	for _, u := range r.runs {
		millicores += u.order.Millicores
		memoryMB += u.order.MemoryMB
	}
	return millicores, memoryMB
}

// Stop ends an owner's attempt; its end is told when it is certain.
func (r *Runs) Stop(now time.Time, name string, id uint64) {
	k := attemptKey{name, id}
	if u := r.attempts[k]; u != nil {
		r.step(now, u, onHalt)
		return
	}
	e, ok := r.ends[k]
	if !ok {
		e.how = Unknown
	}
	r.out.Ended(name, id, e.how, e.ranMS)
}

// Answered takes the target's answer to the call for a start.
func (r *Runs) Answered(now time.Time, k Key, a Answer, reason string) {
	u := r.runs[k]
	if u == nil {
		return
	}
	u.settled = now
	switch a {
	case Accepted:
		r.step(now, u, onAccepted)
	case Rejected:
		u.how = reason
		r.step(now, u, onRefused)
	default:
		r.step(now, u, onUnanswered)
	}
}

// Answer is the outcome of a call at the target.
type Answer int

// The outcomes of a call: an answer that may still come, or never, is Lost, and the call may be carried out later.
const (
	Accepted Answer = iota
	Rejected
	Lost
)

// Stopped takes the target's answer to the call for a stop.
func (r *Runs) Stopped(now time.Time, k Key, a Answer) {
	if a == Lost {
		return
	}
	if u := r.runs[k]; u != nil && u.barred.IsZero() {
		u.barred = now
	}
}

// Extend returns until when a look at the target is to extend the lease, and false if it is not to.
func (r *Runs) Extend(now time.Time) (time.Time, bool) {
	if r.clean && (len(r.runs) == 0 || now.Sub(r.answered) > extendWithin) {
		return time.Time{}, false
	}
	if !r.clean {
		return time.Time{}, false
	}
	return r.extend(now), true
}

func (r *Runs) extend(now time.Time) time.Time {
	r.extended = now
	return now.Add(Lease)
}

// Ack returns up to which of the target's ends all are taken note of.
func (r *Runs) Ack() int64 { return r.ack }

// Listed takes the target's answer to a look.
func (r *Runs) Listed(now time.Time, l *Listing) {
	if r.life == nil {
		return
	}
	wasUsable := r.usable(now)
	r.answered = now
	if r.foreigners(now, l) {
		return
	}
	for _, f := range l.Finished {
		if f.Index <= r.ack {
			continue
		}
		r.ack = f.Index
		if u := r.runs[f.Key]; u != nil {
			r.finished(now, u, f.How)
		}
	}
	r.compare(now, l)
	if !wasUsable {
		r.out.Changed()
	}
}

// foreigners stops what runs for earlier processes of the agent; until all of it is gone nothing is announced or started.
func (r *Runs) foreigners(now time.Time, l *Listing) bool {
	left := false
	for _, p := range l.Running {
		if r.runs[p.Key] != nil {
			continue
		}
		left = true
		if now.Sub(r.foreign[p.Key]) >= stopAgain {
			r.foreign[p.Key] = now
			r.out.Stop(p.Key)
		}
	}
	if r.clean {
		return false
	}
	for _, f := range l.Finished {
		r.ack = max(r.ack, f.Index)
	}
	if !left {
		r.clean = true
		clear(r.foreign)
		r.out.Changed()
	}
	return !r.clean
}

// compare steps the runs by what the target lists as running.
func (r *Runs) compare(now time.Time, l *Listing) {
	listed := make(map[Key]int, len(l.Running))
	for _, p := range l.Running {
		listed[p.Key] = p.Percent
	}
	for _, u := range r.sorted() {
		percent, there := listed[u.key]
		switch {
		case there:
			r.step(now, u, onListed)
			r.progress(now, u, percent)
		case !u.barred.IsZero() && l.Sent.After(u.barred):
			u.how = stopped
			r.step(now, u, onHalted)
		case !u.settled.IsZero() && l.Sent.After(u.settled):
			u.how = lapsed
			r.step(now, u, onMissing)
		}
	}
}

func (r *Runs) finished(now time.Time, u *run, how string) {
	u.how = how
	if how == done {
		r.pace.learn(now, now.Sub(u.began), u.order.Expected)
	}
	r.step(now, u, onFinished)
}

// Tick does what is due: runs of silent owners, a lapsed lease, stops that went unanswered.
func (r *Runs) Tick(now time.Time) {
	lapse := !r.extended.IsZero() && now.Sub(r.extended) > Lease+time.Duration(clockError*float64(Lease))
	for _, u := range r.sorted() {
		if lapse {
			u.how = lapsed
			r.step(now, u, onLapse)
		}
		if now.Sub(r.owner(u.owner).echoed) > Tenure {
			r.step(now, u, onHalt)
		}
		if (u.state == stateBarring || u.state == stateStopping) && u.barred.IsZero() && now.Sub(u.stopSent) >= stopAgain {
			r.callStop(now, u)
		}
	}
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

func (r *Runs) callStop(now time.Time, u *run) {
	u.stopSent = now
	r.out.Stop(u.key)
}

// sorted returns the runs in a fixed order.
func (r *Runs) sorted() []*run {
	list := slices.Collect(maps.Values(r.runs))
	slices.SortFunc(list, func(a, b *run) int {
		if a.owner != b.owner {
			if a.owner < b.owner {
				return -1
			}
			return 1
		}
		return int(a.order.Attempt) - int(b.order.Attempt)
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
	r.out.Changed()
}

func (r *Runs) tell(now time.Time, k attemptKey, how string, ranMS uint32) {
	r.ends[k] = ended{how: how, ranMS: ranMS, expires: now.Add(recall)}
	r.out.Ended(k.owner, k.attempt, how, ranMS)
}
