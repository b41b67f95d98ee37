package admit

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"persimmonstage/core/heap"
	"persimmonstage/core/queue"
)

// A discrete-event simulation of one host behind one entry, without goroutines or a real clock.

const hostSlots = 8

// source generates the open-loop arrivals of one share.
type source struct {
	name           string
	team, kind     string
	load           float64 // fraction of the host's capacity
	run            [2]time.Duration
	urgency        int
	patience       time.Duration // from arrival to deadline
	tasks          int
	from           time.Duration
	retries        bool    // submits refused jobs again at the given retry time
	declaredFactor float64 // ratio of declared to mean run time; zero means one
	rng            *rand.Rand
}

type order interface {
	Push(queue.Item[*simJob]) error
	Pop(func(*queue.Item[*simJob], bool) bool) (queue.Item[*simJob], bool)
	Done(queue.Item[*simJob], time.Duration)
	Expire(time.Time) []queue.Item[*simJob]
	Snapshot() []queue.State
}

type simJob struct {
	src  *source
	req  Request
	at   time.Time
	runs []time.Duration
	left int

	serial  int
	retried bool // was refused before
}

type simTask struct {
	item queue.Item[*simJob]
	run  time.Duration
	ends time.Time
}

// shareResults holds the measurements of a share.
type shareResults struct {
	offered   int
	refused   int
	expired   int
	waits     []time.Duration // from arrival to start, of each task
	responses []time.Duration // from arrival to end, of each task
}

func p99(of []time.Duration) time.Duration {
	if len(of) == 0 {
		return 0
	}
	sorted := slices.Clone(of)
	slices.Sort(sorted)
	return sorted[len(sorted)*99/100]
}

type sim struct {
	gate     *Gate
	order    order
	seed     uint64
	now      time.Time
	arrivals *heap.Heap[*simJob]
	running  []simTask
	results  map[string]*shareResults
	serial   int
	start    time.Time
}

func newSim(o order, seed uint64) *sim {
	g := New(rand.New(rand.NewPCG(seed, 1<<32)))
	g.SetFleetRate(1)
	start := time.Unix(1_000_000, 0)
	coming := heap.New(byTime, func(*simJob, int) {})
	return &sim{gate: g, order: o, seed: seed, now: start, start: start, arrivals: coming, results: map[string]*shareResults{}}
}

func (s *sim) runFor(d time.Duration, sources ...*source) {
	for i, src := range sources {
		s.results[src.team+"/"+src.kind] = &shareResults{}
		src.rng = rand.New(rand.NewPCG(s.seed, uint64(i)))
		s.scheduleNext(src, s.start.Add(src.from))
	}
	end := s.start.Add(d)
	report := s.start
	for s.now.Before(end) {
		next := report
		if s.arrivals.Len() > 0 && s.arrivals.Min().at.Before(next) {
			next = s.arrivals.Min().at
		}
		i := s.earliest()
		if i >= 0 && s.running[i].ends.Before(next) {
			s.now = s.running[i].ends
			s.finish(i)
			s.startTasks()
			continue
		}
		s.now = next
		if next.Equal(report) {
			s.report()
			report = report.Add(time.Second)
			continue
		}
		job := s.arrivals.Remove(0)
		if !job.retried {
			s.scheduleNext(job.src, s.now)
		}
		s.arrive(job)
		s.startTasks()
	}
}

// scheduleNext schedules the next job of a source after a time.
func (s *sim) scheduleNext(src *source, after time.Time) {
	mean := (src.run[0] + src.run[1]).Seconds() / 2 * float64(src.tasks)
	rate := src.load * hostSlots / mean
	at := after.Add(time.Duration(src.rng.ExpFloat64() / rate * float64(time.Second)))
	job := &simJob{src: src, at: at, left: src.tasks}
	for range src.tasks {
		job.runs = append(job.runs, src.run[0]+time.Duration(src.rng.Int64N(int64(src.run[1]-src.run[0])+1)))
	}
	declared := time.Duration(mean / float64(src.tasks) * cmp.Or(src.declaredFactor, 1) * float64(time.Second))
	job.req = Request{
		Team: src.team, Kind: src.kind, Tasks: int64(src.tasks), Bytes: 1000, Size: 1000 / hostSlots,
		Run: declared, Issued: at, Deadline: at.Add(src.patience),
	}
	s.push(job)
}

func (s *sim) arrive(job *simJob) {
	got := s.results[job.src.team+"/"+job.src.kind]
	got.offered++
	if _, err := s.gate.Admit(job.req, s.now); err != nil {
		got.refused++
		s.scheduleRetry(job, err.(*RefusedError))
		return
	}
	for range job.runs {
		s.serial++
		item := queue.Item[*simJob]{
			Key: fmt.Sprint(s.serial), Team: job.src.team, Kind: job.src.kind, Urgency: job.src.urgency,
			Deadline: job.req.Deadline, Run: job.req.Run, Size: job.req.Size, Bytes: 1000, Value: job,
		}
		s.gate.Sent(job.req)
		if s.order.Push(item) != nil {
			got.refused++
			s.gate.Done(job.req)
			s.endTask(job)
		}
	}
}

func (s *sim) scheduleRetry(job *simJob, refusal *RefusedError) {
	if !job.src.retries || refusal.Retry.IsZero() {
		return
	}
	job.retried = true
	job.at = refusal.Retry
	job.req.Deadline = job.at.Add(job.src.patience)
	s.push(job)
}

func (s *sim) push(job *simJob) {
	s.serial++
	job.serial = s.serial
	s.arrivals.Push(job)
}

func byTime(a, b *simJob) bool {
	if !a.at.Equal(b.at) {
		return a.at.Before(b.at)
	}
	return a.serial < b.serial
}

func (s *sim) startTasks() {
	for _, it := range s.order.Expire(s.now) {
		s.results[it.Team+"/"+it.Kind].expired++
		s.gate.Done(it.Value.req)
		s.endTask(it.Value)
	}
	for len(s.running) < hostSlots {
		it, ok := s.order.Pop(func(*queue.Item[*simJob], bool) bool { return true })
		if !ok {
			return
		}
		job := it.Value
		got := s.results[it.Team+"/"+it.Kind]
		got.waits = append(got.waits, s.now.Sub(job.at))
		run := job.runs[0]
		job.runs = job.runs[1:]
		s.running = append(s.running, simTask{item: it, run: run, ends: s.now.Add(run)})
	}
}

func (s *sim) earliest() int {
	first := -1
	for i := range s.running {
		if first < 0 || s.running[i].ends.Before(s.running[first].ends) {
			first = i
		}
	}
	return first
}

func (s *sim) finish(i int) {
	task := s.running[i]
	s.running = slices.Delete(s.running, i, i+1)
	job := task.item.Value
	s.order.Done(task.item, task.run)
	s.gate.Done(job.req)
	got := s.results[task.item.Team+"/"+task.item.Kind]
	got.responses = append(got.responses, s.now.Sub(job.at))
	s.endTask(job)
}

func (s *sim) endTask(job *simJob) {
	job.left--
	if job.left == 0 {
		s.gate.End(job.req)
	}
}

func (s *sim) report() {
	expires := s.now.Add(3 * time.Second)
	s.gate.Expire(s.now)
	for _, st := range s.order.Snapshot() {
		s.gate.Report(st.Team, st.Kind, st.Backlog, st.Rate, s.now, expires)
	}
}
