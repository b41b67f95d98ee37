package lag

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"persimmonstage/io/caller"
)

const (
	pollInterval = 20 * time.Millisecond
	pollTimeout  = 2 * time.Second
	patience     = 20 * time.Second
	maxLag       = int64(patience / time.Microsecond)
	digits       = 3
	statePath    = "/v1/admin/state"
)

// Probe polls the state of processes; it counts from a given time, to the resolution of its poll of 20 ms.
type Probe struct {
	processes []string
	clients   []*caller.Client

	mu      sync.Mutex
	lags    *hdrhistogram.Histogram
	slowest string
	missing int
}

// New returns a Probe of the processes at the base URLs; token is an operator's.
func New(processes []string, token string) *Probe {
	p := &Probe{processes: processes, lags: hdrhistogram.New(1, maxLag, digits)}
	for _, base := range processes {
		p.clients = append(p.clients, caller.New(base, token))
	}
	return p
}

// Await polls until every process has the version in force, or 20 s have passed, and records each lag since the time
// given; the error names a process that never had it.
func (p *Probe) Await(ctx context.Context, version int64, since time.Time) error {
	ctx, cancel := context.WithDeadline(ctx, since.Add(patience))
	defer cancel()
	errs := make([]error, len(p.clients))
	var wg sync.WaitGroup
	for i := range p.clients {
		wg.Go(func() { errs[i] = p.await(ctx, i, version, since) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

func (p *Probe) await(ctx context.Context, i int, version int64, since time.Time) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	var last error
	for {
		got, err := inForce(p.clients[i])
		if err == nil && got >= version {
			p.record(i, time.Since(since))
			return nil
		}
		last = err
		select {
		case <-ticker.C:
		case <-ctx.Done():
			p.mu.Lock()
			p.missing++
			p.mu.Unlock()
			return errors.Newf("%s: version %d is not in force, but %d (%v)", p.processes[i], version, got, last)
		}
	}
}

func inForce(c *caller.Client) (int64, error) {
	status, body, err := c.Do(http.MethodGet, statePath, nil, time.Now().Add(pollTimeout))
	if err != nil {
		return 0, err
	}
	if status != http.StatusOK {
		return 0, errors.Newf("answer %d", status)
	}
	var state struct {
		Version int64 `json:"config-version"`
	}
	err = json.Unmarshal(body, &state)
	return state.Version, err
}

func (p *Probe) record(i int, lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if lag.Microseconds() > p.lags.Max() {
		p.slowest = p.processes[i]
	}
	_ = p.lags.RecordValue(min(max(lag.Microseconds(), 1), maxLag))
}

// Quantile returns the lag that the given share of all observations stayed under, in percent.
func (p *Probe) Quantile(percent float64) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.lags.ValueAtQuantile(percent)) * time.Microsecond
}

// Slowest returns the process with the longest lag.
func (p *Probe) Slowest() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.slowest
}

// Observed returns how many lags were recorded, and how many processes missed a version.
func (p *Probe) Observed() (recorded int64, missed int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lags.TotalCount(), p.missing
}
