package sched

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// patiencePart is the share of its objective that a job waits for its first start: past a quarter the rest of the objective
// hardly suffices for the work, and a caller is better off with a refusal.
const patiencePart = 0.15

// urgency orders jobs that wait. First come those that still can meet their objective, and among these the begun ones, as all
// that was spent on a begun job is lost with its last task. The others go by the end of their patience: under overload each kind
// of work loses about the same part then, as a kind with a short objective goes first but also leaves first.
func urgency(a, b *job) int {
	return cmp.Or(rank(a.late, b.late), rank(b.begun, a.begun), a.patience.Compare(b.patience))
}

// rank orders false before true.
func rank(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// markLate notes which jobs that wait would miss their objective even if they were started now at the fastest target.
func (s *Sched) markLate(now time.Time) {
	clear(s.fastest)
	for _, j := range s.queue {
		service := j.batch.Route.Service
		pace, known := s.fastest[service]
		if !known {
			pace = s.fastestPace(service)
			s.fastest[service] = pace
		}
		j.late = now.Add(time.Duration(pace * float64(j.expected))).After(j.objective)
	}
}

// fastestPace returns the pace of a service's fastest usable target, 1 if there is none.
func (s *Sched) fastestPace(service string) float64 {
	least := 0.0
	for _, t := range s.targets {
		if t.open() && t.state.Service == service && (least == 0 || t.state.Pace < least) {
			least = t.state.Pace
		}
	}
	if least == 0 {
		return 1
	}
	return least
}

const (
	// flowSpan is the time over which the rate of starts is averaged.
	flowSpan = 300 * time.Millisecond
	// backlogAge is how long a job must have waited for the rate of starts to be that of the room that becomes free.
	backlogAge = 10 * time.Millisecond
	// waitMargin is by how much the expected wait of a job has to exceed its patience for it to be refused at once.
	waitMargin = 1.3
)

// flow is the rate of starts, as a sum that fades; the zero value is none.
type flow struct {
	sum float64
	at  time.Time
}

func (f *flow) add(now time.Time) {
	f.sum = f.faded(now) + 1
	f.at = now
}

func (f *flow) faded(now time.Time) float64 {
	return f.sum * math.Exp(-float64(now.Sub(f.at))/float64(flowSpan))
}

// wait returns how long n starts take at the present rate.
func (f *flow) wait(now time.Time, n int) time.Duration {
	return time.Duration(float64(n) / max(1, f.faded(now)) * float64(flowSpan))
}

// overrun reports whether a job that arrives would wait past its patience: when jobs wait already, room is given out as fast as
// it becomes free, so the tasks ahead and the rate of starts tell when its turn comes. A caller is better off with a refusal now
// than with the same refusal later.
func (s *Sched) overrun(now time.Time, j *job) bool {
	ahead, backlog := 1, false
	for _, o := range s.queue {
		if o.ended || o.waiting == 0 || now.Before(o.ready) || !o.patience.Before(j.patience) {
			continue
		}
		ahead += o.waiting
		backlog = backlog || now.Sub(o.arrived) > backlogAge
	}
	return backlog && float64(s.flow.wait(now, ahead)) > waitMargin*float64(j.patience.Sub(now))
}

// enqueue puts a job among those that wait.
func (s *Sched) enqueue(j *job) {
	if !slices.Contains(s.queue, j) {
		s.queue = append(s.queue, j)
	}
}

// place gives free room to the tasks that wait, the most urgent job first. A job that found no room keeps the targets that
// would serve it in time from the jobs behind it.
func (s *Sched) place(now time.Time) {
	s.kept = 0
	s.rescue(now)
	s.retryStuck(now)
	if len(s.queue) == 0 {
		return
	}
	s.markLate(now)
	slices.SortStableFunc(s.queue, urgency)
	s.load = s.utilisation()
	for _, j := range s.queue {
		s.placeJob(now, j)
	}
	s.queue = slices.DeleteFunc(s.queue, func(j *job) bool { return j.ended || j.waiting == 0 })
}

func (s *Sched) placeJob(now time.Time, j *job) {
	if j.ended || now.Before(j.ready) {
		return
	}
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.done || t.attempt != nil || s.open[j.batch.TaskName(i)] != nil {
			continue
		}
		to := s.choose(now, j, t)
		if to == nil {
			return
		}
		s.send(now, j, i, to)
	}
}

// send orders an attempt of a task.
func (s *Sched) send(now time.Time, j *job, i int, to *target) {
	s.next++
	t := &j.tasks[i]
	t.number++
	a := &attempt{
		id: s.next, job: j, index: i, name: j.batch.TaskName(i), number: t.number, target: to, expected: j.expected, sent: now,
	}
	t.attempt = a
	j.starts++
	to.attempts[a.id] = a
	to.sentMillicores += j.batch.Millicores
	to.sentMemoryMB += j.batch.MemoryMB
	s.open[a.name] = a
	j.waiting--
	s.flow.add(now)
	if !j.begun {
		j.begun = true
		j.waited = now.Sub(j.arrived)
		s.out.JobStarted(j.waited)
	}
	s.out.Start(to.name, &Start{
		Attempt: a.id, Task: a.name, Number: t.number, Millicores: j.batch.Millicores, MemoryMB: j.batch.MemoryMB,
		ExpectedMS: uint32(max(1, j.expected.Milliseconds())), Payload: j.batch.Payload,
	})
}
