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

// Policies are compared by stepping Placer, Roster and Table against first-in first-out targets, at passed times.
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

type bench struct {
	setting
	work, dice     *rand.Rand // of the arrivals, alike for all policies, and of the policy
	now            time.Duration
	events         []event
	fakes          []*fake
	fronts         []*front
	ratios         []float64
	starts, wasted int
}

func (b *bench) after(d time.Duration, do func()) {
	at := b.now + d
	i, _ := slices.BinarySearchFunc(b.events, at, func(e event, at time.Duration) int { return cmp.Compare(at, e.at)*2 + 1 })
	b.events = slices.Insert(b.events, i, event{at, do})
}

// front is one entry.
type front struct {
	*bench
	zone   int
	roster roster.Roster
	table  speed.Table
	placer *place.Placer
}

// fake is a target that works first-in first-out; line holds what has not begun.
type fake struct {
	*bench
	id         target.ID
	zone, busy int
	slow       float64
	line       []*item
	held       map[*item]bool
}

// item is a task at a target, or the placeholder of a reservation, which takes a task when its turn comes.
type item struct {
	*job
	f             *fake
	base          time.Duration // run time at a fast target; zero is a placeholder
	booked        target.ID
	work, maxWait time.Duration
	delay, turn   time.Duration // by arrival plus delay, tasks go first
	attempt       int
	begun         bool
}

type job struct {
	e                 *front
	kind, left        int
	placed, ideal     time.Duration
	waiting, reserved []*item // tasks that wait for a grant, and placeholders
}

// hop runs do after the way between an entry and a target.
func (f *fake) hop(e *front, do func()) {
	f.after([2]time.Duration{near, far}[min(1, (e.zone+3-f.zone)%3)], do)
}

// wait is the expected wait of an item that arrives: for what has begun and what goes before it.
func (f *fake) wait(it *item) time.Duration {
	all, before := time.Duration(0), 1-slotsEach
	for other := range f.held {
		all += other.work
		if other.begun || other.turn <= it.turn {
			before++
		}
	}
	if len(f.held) < slotsEach {
		return 0
	}
	return all / time.Duration(len(f.held)) * time.Duration(max(1, before)) / slotsEach
}

func (f *fake) report(e *front) {
	var n [rank.Classes]int
	var work [rank.Classes]time.Duration
	for it := range f.held {
		if it.e != e && it.base > 0 {
			n[rank.Of(it.delay)]++
			work[rank.Of(it.delay)] += it.work
		}
	}
	at := f.now
	f.hop(e, func() {
		e.roster.Report(f.id, at, needs.Vector{Slots: n[0]}, n[0], work[0], start.Add(f.now))
		for c := 1; c < rank.Classes; c++ {
			e.roster.ReportClass(f.id, at, rank.Class(c), needs.Vector{Slots: n[c]}, n[c], work[c])
		}
	})
}

func (f *fake) arrive(it *item) {
	it.turn = f.now + it.delay
	if it.base > 0 && f.wait(it) > it.maxWait {
		f.wasted += 2
		f.report(it.e)
		f.hop(it.e, func() {
			it.e.roster.EndedClass(it.booked, rank.Of(it.delay), slot, it.work)
			it.attempt++
			it.put([]*item{it}, it.attempt)
		})
		return
	}
	f.held[it] = true
	at := slices.IndexFunc(f.line, func(other *item) bool { return other.turn > it.turn })
	if at < 0 {
		at = len(f.line)
	}
	f.line = slices.Insert(f.line, at, it)
	f.step()
}

func (f *fake) step() {
	for f.busy < slotsEach && len(f.line) > 0 {
		it := f.line[0]
		f.line = f.line[1:]
		f.busy++
		if it.base == 0 {
			f.hop(it.e, it.granted)
			continue
		}
		f.run(it)
	}
}

func (f *fake) run(it *item) {
	f.starts++
	it.begun = true
	ran := time.Duration(float64(it.base) * f.slow)
	f.after(ran, func() {
		f.free(it)
		f.report(it.e)
		f.hop(it.e, func() { it.ended(ran) })
	})
}

func (f *fake) free(it *item) {
	f.busy--
	delete(f.held, it)
	f.step()
}

// granted gives the longest waiting task of the job to the target whose turn has come.
func (it *item) granted() {
	j, f, e := it.job, it.f, it.e
	j.reserved = slices.DeleteFunc(j.reserved, func(r *item) bool { return r == it })
	if len(j.waiting) == 0 {
		e.wasted += 2
		f.hop(e, func() { f.free(it) })
		return
	}
	t := j.waiting[0]
	j.waiting = j.waiting[1:]
	e.roster.EndedClass(t.booked, rank.Of(t.delay), slot, t.work)
	it.base, it.booked = t.base, f.id
	it.work = e.table.Expect(f.id, e.table.Kind(kinds[j.kind].name), kinds[j.kind].declared)
	e.roster.Sent(f.id, slot, it.work)
	f.hop(e, func() { f.run(it) })
	for _, r := range j.reserved {
		if len(j.waiting) == 0 {
			e.wasted += 2
			r.f.hop(e, func() {
				if i := slices.Index(r.f.line, r); i >= 0 {
					r.f.line = slices.Delete(r.f.line, i, i+1)
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

// put places tasks of the job and sends what was chosen.
func (j *job) put(tasks []*item, attempt int) {
	e, k := j.e, kinds[j.kind]
	a := place.Request{Kind: k.name, DataCentre: fmt.Sprint("kl-", e.zone), Attempt: attempt, Delay: tasks[0].delay}
	for range tasks {
		a.Tasks = append(a.Tasks, place.Task{Needs: slot, Declared: k.declared})
	}
	for i, c := range e.placer.Place(start.Add(e.now), e.dice, &a, nil) {
		it := tasks[i]
		it.f, it.booked, it.work, it.maxWait = e.fakes[c.Target().Index()], c.Target(), c.Work(), c.MaxWait()
		it.delay = c.Delay()
		if len(c.Reserve()) == 0 {
			it.f.hop(e, func() { it.f.arrive(it) })
			continue
		}
		j.waiting = append(j.waiting, it)
		for _, id := range c.Reserve() {
			r := &item{job: j, f: e.fakes[id.Index()]}
			j.reserved = append(j.reserved, r)
			r.f.hop(e, func() { r.f.arrive(r) })
		}
	}
}

// compare offers jobs at the load and returns response over ideal of the later nine tenths, sorted, and the messages per
// start that led to none.
func (s setting) compare() (ratios []float64, wasted float64) {
	b := newBench(s)
	gap := b.meanWork() / (s.load * b.capacity())
	at := 0.0
	for range s.jobs {
		j, tasks, _ := b.draw()
		b.after(time.Duration(at*float64(time.Second)), func() {
			j.e, j.placed = b.fronts[b.dice.IntN(s.entries)], b.now
			j.put(tasks, 0)
		})
		at += b.work.ExpFloat64() * gap
	}
	var beat func()
	beat = func() {
		for i := range targets * s.entries {
			b.fakes[i%targets].report(b.fronts[i/targets])
		}
		b.after(reportEvery, beat)
	}
	beat()
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
