package mix

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind describes the jobs of one kind in a mix.
type Kind struct {
	Team, Name string
	// Share is the weight of this kind among the jobs, relative to the shares of the other kinds.
	Share float64
	// Run is the mean run time at a target of speed 1; run times vary by up to the share spread in both directions.
	Run time.Duration
	// Tasks is the largest number of tasks of a job; most jobs have far fewer unless Exact is set.
	Tasks int
	Exact bool
	// Window is the time from the issue of a job to its deadline.
	Window time.Duration
}

// Job is one job to submit.
type Job struct {
	// At is the time from the start of the load at which the job is due.
	At           time.Duration
	Number       int
	Kind         *Kind
	Work         []time.Duration
	Resubmission bool
}

const (
	spread      = 0.3
	meanSamples = 4000
	meanSeed    = 7
)

// Mix generates jobs with exponential gaps; the same seed gives the same jobs at the same times.
type Mix struct {
	// Resubmit is the share of the jobs that are submitted a second time.
	Resubmit float64

	kinds         []Kind
	total         float64
	rate          float64
	rng           *rand.Rand
	at            time.Duration
	n             int
	resubmissions []Job
}

// New returns a Mix of kinds with rate jobs per second.
func New(kinds []Kind, rate float64, seed uint64) *Mix {
	m := &Mix{kinds: slices.Clone(kinds), rate: rate, rng: rand.New(rand.NewPCG(seed, seed+1))}
	for i := range m.kinds {
		m.total += m.kinds[i].Share
	}
	return m
}

// Next returns the next job to submit.
func (m *Mix) Next() Job {
	if n := len(m.resubmissions); n > 0 {
		j := m.resubmissions[n-1]
		m.resubmissions = m.resubmissions[:n-1]
		return j
	}
	m.at += time.Duration(m.rng.ExpFloat64() / m.rate * float64(time.Second))
	j := Job{At: m.at, Number: m.n, Kind: m.pickKind()}
	m.n++
	j.Work = m.drawWork(j.Kind)
	if m.Resubmit > 0 && m.rng.Float64() < m.Resubmit {
		again := j
		again.Resubmission = true
		m.resubmissions = append(m.resubmissions, again)
	}
	return j
}

func (m *Mix) pickKind() *Kind {
	u := m.rng.Float64() * m.total
	for i := range m.kinds {
		u -= m.kinds[i].Share
		if u < 0 {
			return &m.kinds[i]
		}
	}
	return &m.kinds[len(m.kinds)-1]
}

// drawWork returns random run times for the tasks of a job.
func (m *Mix) drawWork(k *Kind) []time.Duration {
	n := max(1, k.Tasks)
	if !k.Exact && n > 1 {
		n = int(math.Exp2(m.rng.Float64() * m.rng.Float64() * math.Log2(float64(n+1))))
	}
	work := make([]time.Duration, n)
	for i := range work {
		work[i] = time.Duration(float64(k.Run) * (1 - spread + 2*spread*m.rng.Float64()))
	}
	return work
}

// MeanWork returns the mean total run time of a job of kinds at a target of speed 1.
func MeanWork(kinds []Kind) time.Duration {
	m := New(kinds, 1, meanSeed)
	sum := time.Duration(0)
	for range meanSamples {
		for _, w := range m.drawWork(m.pickKind()) {
			sum += w
		}
	}
	return sum / meanSamples
}
