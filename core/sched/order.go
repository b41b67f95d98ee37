package sched

import (
	"cmp"
	"slices"
	"time"
)

// patiencePart is the share of its objective that a job waits for its first start: past a quarter the rest of the objective
// hardly suffices for the work, and a caller is better off with a refusal.
const patiencePart = 0.2

// urgency orders jobs that wait: first those that still can meet their objective, by the end of their patience. Under overload
// each kind of work loses about the same part then, as a kind with a short objective goes first but also leaves first.
func urgency(now time.Time) func(a, b *job) int {
	return func(a, b *job) int {
		if late := cmp.Compare(a.lateness(now), b.lateness(now)); late != 0 {
			return late
		}
		return a.patience.Compare(b.patience)
	}
}

// lateness is 1 if even an immediate start would miss the objective.
func (j *job) lateness(now time.Time) int {
	if now.Add(j.expected).After(j.objective) {
		return 1
	}
	return 0
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
	if len(s.queue) == 0 {
		return
	}
	slices.SortStableFunc(s.queue, urgency(now))
	s.load = s.utilisation()
	s.kept = 0
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
	s.open[a.name] = a
	j.waiting--
	if !j.begun {
		j.begun = true
		j.waited = now.Sub(j.arrived)
		s.out.Placed(j.waited)
	}
	s.out.Start(to.name, &Start{
		Attempt: a.id, Task: a.name, Number: t.number, Millicores: j.batch.Millicores, MemoryMB: j.batch.MemoryMB,
		ExpectedMS: uint32(max(1, j.expected.Milliseconds())), Payload: j.batch.Payload,
	})
}
