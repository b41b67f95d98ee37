package load

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"persimmonstage/core/mix"
	"persimmonstage/core/score"
	"persimmonstage/io/count"
)

// Limits of a load.
const (
	MaxSeconds       = 300
	MaxRate          = 20_000
	maxOpen          = 12_000
	progressInterval = 5 * time.Second
)

// Generator submits jobs to a set of entries and collects their outcomes by phase. Arrivals don't wait for answers, and a
// response time counts from the time at which the job was due, so that a slow system can't reduce its own load.
type Generator struct {
	// Entries, Agents and Targets are base URLs on loopback; only Entries is required.
	Entries, Agents, Targets []string
	Token                    string
	Kinds                    []mix.Kind
	// Rate is in jobs per second.
	Rate    float64
	Seconds float64
	Seed    uint64
	// Slots is the fleet's capacity: the run time at speed 1 that it completes per unit of time; 0 if unknown.
	Slots    float64
	Resubmit float64
	// MaxSizeError is the largest factor by which declared sizes are wrong, in both directions; 0 declares no sizes.
	MaxSizeError float64
	// CancelShare is the fraction of the jobs that are cancelled, all at the next whole second of the phase.
	CancelShare float64
	// Progress receives a line of progress every 5 s; nil for none.
	Progress io.Writer

	run    string
	http   *fasthttp.Client
	phases []*phase
}

// Check returns an error for addresses that aren't on loopback, and for rates and times outside the limits.
func (g *Generator) Check() error {
	if len(g.Entries) == 0 {
		return errors.New("entry: missing")
	}
	for _, list := range [][]string{g.Entries, g.Agents, g.Targets} {
		for _, base := range list {
			if err := onLoopback(base); err != nil {
				return err
			}
		}
	}
	if g.Seconds <= 0 || g.Seconds > MaxSeconds {
		return errors.Newf("seconds: %v, must be above 0 and at most %d", g.Seconds, MaxSeconds)
	}
	return checkRate(g.Rate)
}

func checkRate(rate float64) error {
	if !(rate > 0 && rate <= MaxRate) {
		return errors.Newf("rate: %v jobs per second, must be above 0 and at most %d", rate, MaxRate)
	}
	return nil
}

func onLoopback(base string) error {
	u, err := url.Parse(base)
	if err != nil || u.Scheme != "http" {
		return errors.Newf("%q is not of the form http://IP:PORT", base)
	}
	if ip := net.ParseIP(u.Hostname()); ip == nil || !ip.IsLoopback() {
		return errors.Newf("%q is not on loopback; load goes nowhere else", base)
	}
	return nil
}

// flood is additional load of one kind, with its rate in jobs per second.
type flood struct {
	kind mix.Kind
	rate float64
}

// RunPhase submits jobs for Seconds and waits for the answers; phases with the same name are added up.
func (g *Generator) RunPhase(ctx context.Context, name string) error { return g.phase(ctx, name, nil) }

// RunFlood runs a phase with a flood in addition to the load: factor times the capacity of Slots, of the named kind.
func (g *Generator) RunFlood(ctx context.Context, name, kind string, factor float64) error {
	k, ok := mix.Flood(kind)
	if !ok {
		return errors.Newf("flood: unknown kind %q", kind)
	}
	f := &flood{kind: k, rate: factor * g.Slots / mix.MeanWork([]mix.Kind{k}).Seconds()}
	if err := checkRate(f.rate); err != nil {
		return errors.Wrap(err, "flood")
	}
	return g.phase(ctx, name, f)
}

func (g *Generator) phase(ctx context.Context, name string, f *flood) error {
	if err := g.Check(); err != nil {
		return err
	}
	if g.http == nil {
		g.run = uuid.Must(uuid.NewV7()).String()
		g.http = &fasthttp.Client{MaxConnsPerHost: maxOpen, MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true}
	}
	p := g.phaseNamed(name)
	before, err := count.Read(g.Entries, g.Agents, g.Targets)
	if err != nil {
		return err
	}
	started := time.Now()
	p.offer(ctx, g, f)
	p.seconds += time.Since(started).Seconds()
	after, err := count.Read(g.Entries, g.Agents, g.Targets)
	if err != nil {
		return err
	}
	p.counts.Add(&after, 1)
	p.counts.Add(&before, -1)
	if p.counts.StartedTwice > 0 {
		return errors.Newf("%v tasks were started twice", p.counts.StartedTwice)
	}
	return nil
}

func (g *Generator) phaseNamed(name string) *phase {
	for _, p := range g.phases {
		if p.name == name {
			return p
		}
	}
	p := &phase{name: name}
	g.phases = append(g.phases, p)
	return p
}

// Score returns the outcomes of the named phase, or nil if it has not run.
func (g *Generator) Score(name string) *score.Score {
	for _, p := range g.phases {
		if p.name == name {
			return &p.score
		}
	}
	return nil
}

// writeProgress writes a line of progress every 5 s until done is closed.
func (g *Generator) writeProgress(p *phase, started time.Time, open, offered *atomic.Int64, done <-chan struct{}) {
	if g.Progress == nil {
		return
	}
	t := time.NewTicker(progressInterval)
	defer t.Stop()
	for {
		select {
		case <-done:
			return
		case <-t.C:
			fmt.Fprintf(g.Progress, "%s: %.0f s, %d jobs offered, %d open\n",
				p.name, time.Since(started).Seconds(), offered.Load(), open.Load())
		}
	}
}
