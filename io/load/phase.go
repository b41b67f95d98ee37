package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"persimmonstage/core/mix"
	"persimmonstage/core/score"
	"persimmonstage/io/count"
)

const (
	// unanswered is the reason of a job that the load did not wait for any longer.
	unanswered  = "unanswered-at-the-end"
	tooManyOpen = "not-sent-too-many-open"
	resubmitted = 100 // submissions of one job in a flood of resubmissions
	sizesSeed   = 13
	cancelsSeed = 17
	// wavePeriod is the time between two waves of cancellations.
	wavePeriod = time.Second
)

// phase is what was collected under one name.
type phase struct {
	name    string
	seconds float64
	counts  count.Counts
	late    time.Duration

	mu    sync.Mutex
	score score.Score
	rate  float64
}

// stream is one flow of arrivals of a phase.
type stream struct {
	load    *Generator
	phase   *phase
	mix     *mix.Mix
	flood   bool
	repeat  bool
	begun   time.Time
	sizes   *rand.Rand
	cancels *rand.Rand
	open    *atomic.Int64
	offered *atomic.Int64
	wait    sync.WaitGroup
	last    *sent

	mu      sync.Mutex
	pending map[*score.JobResult]struct{}
	closed  bool
}

// offer runs the load, and the flood beside it, and waits for the answers of the load.
func (p *phase) offer(ctx context.Context, l *Generator, f *flood) {
	var open, offered atomic.Int64
	begun := time.Now()
	base := l.stream(p, mix.New(l.Kinds, l.Rate, l.Seed), begun, &open, &offered)
	base.mix.Resubmit = l.Resubmit
	p.rate = l.Rate
	streams := []*stream{base}
	if f != nil {
		s := l.stream(p, mix.New([]mix.Kind{f.kind}, f.rate, l.Seed+1), begun, &open, &offered)
		s.flood, s.repeat = true, f.kind.Name == "resubmissions"
		streams = append(streams, s)
	}
	done := make(chan struct{})
	go l.tell(p, begun, &open, &offered, done)
	var wg sync.WaitGroup
	for _, s := range streams {
		wg.Go(func() { s.offer(ctx) })
	}
	wg.Wait()
	base.wait.Wait()
	for _, s := range streams {
		s.close()
	}
	close(done)
	l.Seed += 2
}

func (l *Generator) stream(p *phase, m *mix.Mix, begun time.Time, open, offered *atomic.Int64) *stream {
	return &stream{
		load: l, phase: p, mix: m, begun: begun, open: open, offered: offered,
		sizes: rand.New(rand.NewPCG(l.Seed, sizesSeed)), cancels: rand.New(rand.NewPCG(l.Seed, cancelsSeed)), pending: make(map[*score.JobResult]struct{}),
	}
}

// offer submits each job when it is due; it ends with the phase's seconds.
func (s *stream) offer(ctx context.Context) {
	end := time.Duration(s.load.Seconds * float64(time.Second))
	for j := s.mix.Next(); j.At < end && ctx.Err() == nil; j = s.mix.Next() {
		due := s.begun.Add(j.At)
		if d := time.Until(due); d > 0 {
			time.Sleep(d)
		}
		s.one(due, &j)
	}
}

// one submits a job without waiting for its answer.
func (s *stream) one(due time.Time, j *mix.Job) {
	again := j.Resubmission || s.repeat && j.Number%resubmitted != 0
	if !again || s.last == nil {
		s.last = s.load.job(s, due, j)
	}
	number := s.offered.Add(1)
	e := s.last.ending()
	if s.open.Add(1) > mostOpen {
		s.open.Add(-1)
		e.Outcome, e.Reason = score.Lost, tooManyOpen
		s.phase.add(e, 0)
		return
	}
	s.mu.Lock()
	s.pending[e] = struct{}{}
	s.mu.Unlock()
	s.wait.Add(1)
	job := s.last
	if s.cancels.Float64() < s.load.CancelShare {
		s.cancel(job, e, int(number+1)%len(s.load.Entries))
	}
	go func() {
		defer s.wait.Done()
		late := time.Since(due)
		s.load.submit(job, int(number)%len(s.load.Entries), e)
		e.Response = time.Since(due)
		s.open.Add(-1)
		s.ended(e, late)
	}()
}

// cancel withdraws a job with the next wave, if it is open then.
func (s *stream) cancel(job *sent, e *score.JobResult, entry int) {
	wave := wavePeriod - time.Since(s.begun)%wavePeriod
	time.AfterFunc(wave, func() {
		s.mu.Lock()
		_, open := s.pending[e]
		s.mu.Unlock()
		if open {
			s.load.cancel(job, entry)
		}
	})
}

// ended counts a job that was answered before the stream was closed.
func (s *stream) ended(e *score.JobResult, late time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		delete(s.pending, e)
		s.phase.add(e, late)
	}
}

// close counts what is not answered yet.
func (s *stream) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for e := range s.pending {
		open := score.JobResult{Team: e.Team, Kind: e.Kind, Tasks: e.Tasks, Ideal: e.Ideal, Outcome: score.Lost, Reason: unanswered}
		s.phase.add(&open, 0)
	}
}

func (p *phase) add(e *score.JobResult, late time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.score.Add(e)
	p.late = max(p.late, late)
}
