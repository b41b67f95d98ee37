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
	// floodGrace is how long the answers to a flood are awaited after the last answer to the load. A flood above capacity leaves a
	// backlog that may take minutes, which isn't waited for.
	floodGrace = 2 * time.Second
	// unanswered is the reason of a job that had no answer when its stream was closed.
	unanswered        = "unanswered-at-the-end"
	tooManyOpen       = "not-sent-too-many-open"
	submissionsPerJob = 100 // in a flood of resubmissions
	sizesSeed         = 13
	cancelsSeed       = 17
	// cancelInterval is the time between two batches of cancellations.
	cancelInterval = time.Second
)

// phase holds the results collected under one name.
type phase struct {
	name    string
	seconds float64
	counts  count.Counts
	late    time.Duration

	mu    sync.Mutex
	score score.Score
	rate  float64
}

// stream is one stream of job arrivals of a phase.
type stream struct {
	load    *Generator
	phase   *phase
	mix     *mix.Mix
	flood   bool
	repeat  bool
	started time.Time
	sizes   *rand.Rand
	cancels *rand.Rand
	open    *atomic.Int64
	offered *atomic.Int64
	wait    sync.WaitGroup
	last    *submission

	mu      sync.Mutex
	pending map[*score.JobResult]struct{}
	closed  bool
}

// offer submits the jobs of the load and of the flood, and waits for the answers: without limit to those of the load, and for
// floodGrace to those of the flood.
func (p *phase) offer(ctx context.Context, g *Generator, f *flood) {
	var open, offered atomic.Int64
	started := time.Now()
	base := g.stream(p, mix.New(g.Kinds, g.Rate, g.Seed), started, &open, &offered)
	base.mix.Resubmit = g.Resubmit
	p.rate = g.Rate
	streams := []*stream{base}
	if f != nil {
		s := g.stream(p, mix.New([]mix.Kind{f.kind}, f.rate, g.Seed+1), started, &open, &offered)
		s.flood, s.repeat = true, f.kind.Name == "resubmissions"
		streams = append(streams, s)
	}
	done := make(chan struct{})
	go g.writeProgress(p, started, &open, &offered, done)
	var wg sync.WaitGroup
	for _, s := range streams {
		wg.Go(func() { s.offer(ctx) })
	}
	wg.Wait()
	base.wait.Wait()
	for _, s := range streams {
		s.waitUntilAnswered(floodGrace)
		s.close()
	}
	close(done)
	g.Seed += 2
}

func (g *Generator) stream(p *phase, m *mix.Mix, started time.Time, open, offered *atomic.Int64) *stream {
	return &stream{
		load: g, phase: p, mix: m, started: started, open: open, offered: offered,
		sizes: rand.New(rand.NewPCG(g.Seed, sizesSeed)), cancels: rand.New(rand.NewPCG(g.Seed, cancelsSeed)),
		pending: make(map[*score.JobResult]struct{}),
	}
}

// offer submits each job when it is due, for the seconds of the phase.
func (s *stream) offer(ctx context.Context) {
	end := time.Duration(s.load.Seconds * float64(time.Second))
	for j := s.mix.Next(); j.At < end && ctx.Err() == nil; j = s.mix.Next() {
		due := s.started.Add(j.At)
		if d := time.Until(due); d > 0 {
			time.Sleep(d)
		}
		s.submitNext(due, &j)
	}
}

// submitNext submits a job without waiting for its answer.
func (s *stream) submitNext(due time.Time, j *mix.Job) {
	again := j.Resubmission || s.repeat && j.Number%submissionsPerJob != 0
	if !again || s.last == nil {
		s.last = s.load.newSubmission(s, due, j)
	}
	number := s.offered.Add(1)
	e := s.last.newResult()
	if s.open.Add(1) > maxOpen {
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
		s.addAnswered(e, late)
	}()
}

// cancel cancels a job with the next batch of cancellations, if it is still open then.
func (s *stream) cancel(job *submission, e *score.JobResult, entry int) {
	delay := cancelInterval - time.Since(s.started)%cancelInterval
	time.AfterFunc(delay, func() {
		s.mu.Lock()
		_, open := s.pending[e]
		s.mu.Unlock()
		if open {
			s.load.cancel(job, entry)
		}
	})
}

// addAnswered counts a job that was answered before the stream was closed.
func (s *stream) addAnswered(e *score.JobResult, late time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		delete(s.pending, e)
		s.phase.add(e, late)
	}
}

// waitUntilAnswered waits until all submitted jobs are answered, but not longer than most.
func (s *stream) waitUntilAnswered(most time.Duration) {
	answered := make(chan struct{})
	go func() {
		s.wait.Wait()
		close(answered)
	}()
	select {
	case <-answered:
	case <-time.After(most):
	}
}

// close counts the jobs that are not answered yet.
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
