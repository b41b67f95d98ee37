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
	pollInterval      = 20 * time.Millisecond
	pollTimeout       = 2 * time.Second
	awaitTimeout      = 20 * time.Second
	maxLag            = int64(awaitTimeout / time.Microsecond)
	significantDigits = 3
	statePath         = "/v1/admin/state"
)

// Probe polls the state of processes and records how long versions take to reach them, with the resolution of pollInterval.
type Probe struct {
	processes []string
	clients   []*caller.Client

	mu      sync.Mutex
	lags    *hdrhistogram.Histogram
	slowest string
	missed  int
}

// New returns a Probe of the processes at the given base URLs, with an operator's token.
func New(processes []string, token string) *Probe {
	p := &Probe{processes: processes, lags: hdrhistogram.New(1, maxLag, significantDigits)}
	for _, base := range processes {
		p.clients = append(p.clients, caller.New(base, token))
	}
	return p
}

// Await polls until every process has the version in force or awaitTimeout has passed since the given time, and records
// each lag; the error names the processes that missed it.
func (p *Probe) Await(ctx context.Context, version int64, since time.Time) error {
	ctx, cancel := context.WithDeadline(ctx, since.Add(awaitTimeout))
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
		got, err := versionInForce(p.clients[i])
		if err == nil && got >= version {
			p.record(i, time.Since(since))
			return nil
		}
		last = err
		select {
		case <-ticker.C:
		case <-ctx.Done():
			p.mu.Lock()
			p.missed++
			p.mu.Unlock()
			return errors.Newf("%s: version %d is not in force, but %d (%v)", p.processes[i], version, got, last)
		}
	}
}

func versionInForce(c *caller.Client) (int64, error) {
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

// Quantile returns the lag that the given percentage of observations did not exceed.
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

// Observed returns how many lags were recorded, and how many times a process missed a version.
func (p *Probe) Observed() (recorded int64, missed int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lags.TotalCount(), p.missed
}
