package place_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"persimmonstage/core/needs"
	"persimmonstage/core/place"
	"persimmonstage/core/rank"
	"persimmonstage/core/roster"
	"persimmonstage/core/speed"
	"persimmonstage/core/target"
)

// Policies are compared by a simulation of Placer, Roster and Table with first-in first-out targets.
const (
	near        = 250 * time.Microsecond // one way in a data centre
	far         = time.Millisecond       // one way between data centres
	reportEvery = 250 * time.Millisecond
	targets     = 10
	slotsEach   = 8
)

type event struct {
	at time.Duration
	do func()
}

type sim struct {
	setting
	jobRand, policyRand *rand.Rand // random numbers of the jobs, the same for all policies, and of the policy
	now                 time.Duration
	events              []event
	fakeTargets         []*fakeTarget
	fakeEntries         []*fakeEntry
	ratios              []float64
	starts, wasted      int
}

func (b *sim) after(d time.Duration, do func()) {
	at := b.now + d
	i, _ := slices.BinarySearchFunc(b.events, at, func(e event, at time.Duration) int { return cmp.Compare(at, e.at)*2 + 1 })
	b.events = slices.Insert(b.events, i, event{at, do})
}

// fakeEntry is an entry with its own roster, run times and placer.
type fakeEntry struct {
	*sim
	zone   int
	roster roster.Roster
	table  speed.Table
	placer *place.Placer
}

// fakeTarget is a first-in first-out target; queue holds the items that have not started.
type fakeTarget struct {
	*sim
	id         target.ID
	zone, busy int
	slow       float64
	queue      []*item
	held       map[*item]bool
}

// item is a task at a target, or the placeholder of a reservation, which gets a task when it reaches the head of the queue.
type item struct {
	*job
	f               *fakeTarget
	base            time.Duration // run time at a fast target; zero for a placeholder
	booked          target.ID
	work, maxWait   time.Duration
	delay, queuedAs time.Duration // queues are ordered by queuedAs, arrival plus delay
	attempt         int
	started         bool
}

type job struct {
	e                 *fakeEntry
	kind, left        int
	placed, ideal     time.Duration
	waiting, reserved []*item // tasks that wait for a grant, and their placeholders
}

// send runs do after the one-way latency between an entry and the target.
func (f *fakeTarget) send(e *fakeEntry, do func()) {
	f.after([2]time.Duration{near, far}[min(1, (e.zone+3-f.zone)%3)], do)
}

// wait returns the expected wait of an arriving item, for the started items and those queued before it.
func (f *fakeTarget) wait(it *item) time.Duration {
	all, before := time.Duration(0), 1-slotsEach
	for other := range f.held {
		all += other.work
		if other.started || other.queuedAs <= it.queuedAs {
			before++
		}
	}
	if len(f.held) < slotsEach {
		return 0
	}
	return all / time.Duration(len(f.held)) * time.Duration(max(1, before)) / slotsEach
}

func (f *fakeTarget) report(e *fakeEntry) {
	var n [rank.Classes]int
	var work [rank.Classes]time.Duration
	for it := range f.held {
		if it.e != e && it.base > 0 {
			n[rank.Of(it.delay)]++
			work[rank.Of(it.delay)] += it.work
		}
	}
	at := f.now
	f.send(e, func() {
		e.roster.Report(f.id, at, needs.Vector{Slots: n[0]}, n[0], work[0], start.Add(f.now))
		for c := 1; c < rank.Classes; c++ {
			e.roster.ReportClass(f.id, at, rank.Class(c), needs.Vector{Slots: n[c]}, n[c], work[c])
		}
	})
}

func (f *fakeTarget) arrive(it *item) {
	it.queuedAs = f.now + it.delay
	if it.base > 0 && f.wait(it) > it.maxWait {
		f.wasted += 2
		f.report(it.e)
		f.send(it.e, func() {
			it.e.roster.EndedClass(it.booked, rank.Of(it.delay), slot, it.work)
			it.attempt++
			it.place([]*item{it}, it.attempt)
		})
		return
	}
	f.held[it] = true
	at := slices.IndexFunc(f.queue, func(other *item) bool { return other.queuedAs > it.queuedAs })
	if at < 0 {
		at = len(f.queue)
	}
	f.queue = slices.Insert(f.queue, at, it)
	f.step()
}

func (f *fakeTarget) step() {
	for f.busy < slotsEach && len(f.queue) > 0 {
		it := f.queue[0]
		f.queue = f.queue[1:]
		f.busy++
		if it.base == 0 {
			f.send(it.e, it.granted)
			continue
		}
		f.run(it)
	}
}

func (f *fakeTarget) run(it *item) {
	f.starts++
	it.started = true
	ran := time.Duration(float64(it.base) * f.slow)
	f.after(ran, func() {
		f.free(it)
		f.report(it.e)
		f.send(it.e, func() { it.ended(ran) })
	})
}

func (f *fakeTarget) free(it *item) {
	f.busy--
	delete(f.held, it)
	f.step()
}

// granted sends the longest waiting task of the job to the target that granted a reservation.
func (it *item) granted() {
	j, f, e := it.job, it.f, it.e
	j.reserved = slices.DeleteFunc(j.reserved, func(r *item) bool { return r == it })
	if len(j.waiting) == 0 {
		e.wasted += 2
		f.send(e, func() { f.free(it) })
		return
	}
	t := j.waiting[0]
	j.waiting = j.waiting[1:]
	e.roster.EndedClass(t.booked, rank.Of(t.delay), slot, t.work)
	it.base, it.booked = t.base, f.id
	it.work = e.table.Expect(f.id, e.table.Kind(kinds[j.kind].name), kinds[j.kind].declared)
	e.roster.Sent(f.id, slot, it.work)
	f.send(e, func() { f.run(it) })
	for _, r := range j.reserved {
		if len(j.waiting) == 0 {
			e.wasted += 2
			r.f.send(e, func() {
				if i := slices.Index(r.f.queue, r); i >= 0 {
					r.f.queue = slices.Delete(r.f.queue, i, i+1)
					delete(r.f.held, r)
				}
			})
		}
	}
}

func (it *item) ended(ran time.Duration) {
	e, k := it.e, kinds[it.kind]
	e.roster.EndedClass(it.booked, rank.Of(it.delay), slot, it.work)
	e.table.Learn(it.booked, k.name, k.declared, ran)
	e.roster.SetSpeedFactor(it.booked, e.table.Factor(it.booked))
	it.left--
	if it.left == 0 {
		e.ratios = append(e.ratios, float64(e.now-it.placed)/float64(it.ideal))
	}
}

// place places tasks of the job and sends them, or their reservations, to the chosen targets.
func (j *job) place(tasks []*item, attempt int) {
	e, k := j.e, kinds[j.kind]
	a := place.Request{Kind: k.name, DataCentre: fmt.Sprint("kl-", e.zone), Attempt: attempt, Delay: tasks[0].delay}
	for range tasks {
		a.Tasks = append(a.Tasks, place.Task{Needs: slot, Declared: k.declared})
	}
	for i, c := range e.placer.Place(start.Add(e.now), e.policyRand, &a, nil) {
		it := tasks[i]
		it.f, it.booked, it.work, it.maxWait = e.fakeTargets[c.Target().Index()], c.Target(), c.Work(), c.MaxWait()
		it.delay = c.Delay()
		if len(c.Reserve()) == 0 {
			it.f.send(e, func() { it.f.arrive(it) })
			continue
		}
		j.waiting = append(j.waiting, it)
		for _, id := range c.Reserve() {
			r := &item{job: j, f: e.fakeTargets[id.Index()]}
			j.reserved = append(j.reserved, r)
			r.f.send(e, func() { r.f.arrive(r) })
		}
	}
}

// compare offers jobs at the load. It returns the sorted ratios of response time to ideal time of the last nine tenths of the
// jobs, and the messages per start that didn't lead to a start.
func (s setting) compare() (ratios []float64, wasted float64) {
	b := newSim(s)
	gap := b.meanWork() / (s.load * b.capacity())
	at := 0.0
	for range s.jobs {
		j, tasks, _ := b.draw()
		b.after(time.Duration(at*float64(time.Second)), func() {
			j.e, j.placed = b.fakeEntries[b.policyRand.IntN(s.entries)], b.now
			j.place(tasks, 0)
		})
		at += b.jobRand.ExpFloat64() * gap
	}
	var heartbeat func()
	heartbeat = func() {
		for i := range targets * s.entries {
			b.fakeTargets[i%targets].report(b.fakeEntries[i/targets])
		}
		b.after(reportEvery, heartbeat)
	}
	heartbeat()
	for len(b.ratios) < s.jobs {
		next := b.events[len(b.events)-1]
		b.events = b.events[:len(b.events)-1]
		b.now = next.at
		next.do()
	}
	ratios = b.ratios[s.jobs/10:]
	slices.Sort(ratios)
	return ratios, float64(b.wasted) / float64(b.starts)
}
