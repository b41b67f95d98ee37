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

// Bounds of a load.
const (
	MaxSeconds = 300
	MaxRate    = 20_000
	mostOpen   = 12_000
	progress   = 5 * time.Second
)

// Generator offers jobs of kinds to a set of entries and collects how they end, phase by phase. Arrivals don't wait for answers,
// and a response counts from the time at which its job was due, so that a slow system can't slow down its own load.
type Generator struct {
	// Entries, Agents and Targets are base URLs on loopback; only Entries has to be given.
	Entries, Agents, Targets []string
	Token                    string
	Kinds                    []mix.Kind
	// Rate is in jobs per second.
	Rate    float64
	Seconds float64
	Seed    uint64
	// Slots is the run time at speed 1 that the fleet works off in a unit of time; 0 if that is not known.
	Slots    float64
	Resubmit float64
	// MaxSizeError is by how much the declared sizes are off at most, to both sides; 0 declares none.
	MaxSizeError float64
	// CancelShare is the share of the jobs that their callers cancel, all at the next whole second.
	CancelShare float64
	// Progress gets a line now and then; nil for none.
	Progress io.Writer

	run    string
	http   *fasthttp.Client
	phases []*phase
}

// Check refuses addresses that aren't on loopback, and rates and times beyond the bounds.
func (l *Generator) Check() error {
	if len(l.Entries) == 0 {
		return errors.New("entry: missing")
	}
	for _, list := range [][]string{l.Entries, l.Agents, l.Targets} {
		for _, base := range list {
			if err := onLoopback(base); err != nil {
				return err
			}
		}
	}
	if l.Seconds <= 0 || l.Seconds > MaxSeconds {
		return errors.Newf("seconds: %v, must be above 0 and at most %d", l.Seconds, MaxSeconds)
	}
	return checkRate(l.Rate)
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

// Flood is the kind that floods and its rate in jobs per second.
type flood struct {
	kind mix.Kind
	rate float64
}

// RunPhase offers the load for its seconds and waits for the answers; phases of one name are added up.
func (l *Generator) RunPhase(ctx context.Context, name string) error { return l.phase(ctx, name, nil) }

// RunFlood is a Phase with a flood beside the load: factor times the capacity of Slots, of the kind with that name.
func (l *Generator) RunFlood(ctx context.Context, name, kind string, factor float64) error {
	k, ok := mix.Flood(kind)
	if !ok {
		return errors.Newf("flood: unknown kind %q", kind)
	}
	f := &flood{kind: k, rate: factor * l.Slots / mix.MeanWork([]mix.Kind{k}).Seconds()}
	if err := checkRate(f.rate); err != nil {
		return errors.Wrap(err, "flood")
	}
	return l.phase(ctx, name, f)
}

func (l *Generator) phase(ctx context.Context, name string, f *flood) error {
	if err := l.Check(); err != nil {
		return err
	}
	if l.http == nil {
		l.run = uuid.Must(uuid.NewV7()).String()
		l.http = &fasthttp.Client{MaxConnsPerHost: mostOpen, MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true}
	}
	p := l.named(name)
	before, err := count.Read(l.Entries, l.Agents, l.Targets)
	if err != nil {
		return err
	}
	begun := time.Now()
	p.offer(ctx, l, f)
	p.seconds += time.Since(begun).Seconds()
	after, err := count.Read(l.Entries, l.Agents, l.Targets)
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

func (l *Generator) named(name string) *phase {
	for _, p := range l.phases {
		if p.name == name {
			return p
		}
	}
	p := &phase{name: name}
	l.phases = append(l.phases, p)
	return p
}

// Score gives what was collected in a phase, and nil for one that never was.
func (l *Generator) Score(name string) *score.Score {
	for _, p := range l.phases {
		if p.name == name {
			return &p.score
		}
	}
	return nil
}

// tell writes a line of progress until the phase is done.
func (l *Generator) tell(p *phase, begun time.Time, open, offered *atomic.Int64, done <-chan struct{}) {
	if l.Progress == nil {
		return
	}
	t := time.NewTicker(progress)
	defer t.Stop()
	for {
		select {
		case <-done:
			return
		case <-t.C:
			fmt.Fprintf(l.Progress, "%s: %.0f s, %d jobs offered, %d open\n", p.name, time.Since(begun).Seconds(), offered.Load(), open.Load())
		}
	}
}
