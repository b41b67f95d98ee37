package conf

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"persimmonstage/core/fold"
	"persimmonstage/core/rules"
	"persimmonstage/io/logcl"
)

// inForce is the stated bound: an accepted version is in force everywhere within 4 s.
const inForce = 4 * time.Second

var errDown = errors.New("down")

// fakeLog is a log in memory with the faults of the platform's.
type fakeLog struct {
	mu      sync.Mutex
	records [][]byte
	first   int64
	changed chan struct{}
	down    bool
	lose    int
}

func newLog() *fakeLog { return &fakeLog{first: 1, changed: make(chan struct{})} }

func (l *fakeLog) set(alter func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	alter()
}

func (l *fakeLog) Append(_ context.Context, _ string, data []byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, logcl.NewOutage("append", false, errDown)
	}
	l.records = append(l.records, data)
	close(l.changed)
	l.changed = make(chan struct{})
	if l.lose > 0 {
		l.lose--
		return 0, logcl.NewOutage("append", true, errDown)
	}
	return int64(len(l.records)), nil
}

func (l *fakeLog) Read(ctx context.Context, _ string, from int64, limit int, wait time.Duration) ([]logcl.Record, int64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		l.mu.Lock()
		next, changed := int64(len(l.records))+1, l.changed
		switch {
		case l.down:
			l.mu.Unlock()
			return nil, 0, logcl.NewOutage("read", false, errDown)
		case from < l.first:
			l.mu.Unlock()
			return nil, next, logcl.NewTruncated(from, l.first)
		}
		var out []logcl.Record
		for ; from < next && len(out) < limit; from++ {
			out = append(out, logcl.NewRecord(from, l.records[from-1]))
		}
		l.mu.Unlock()
		if len(out) > 0 {
			return out, next, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, next, nil
		case <-ctx.Done():
			return nil, 0, logcl.NewOutage("read", false, ctx.Err())
		}
	}
}

// gate is one process's way to the log; while it is cut, calls wait for their deadline without a word.
type gate struct {
	*fakeLog
	mu  sync.Mutex
	cut bool
}

func (g *gate) isCut() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cut
}

func (g *gate) setCut(cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut = cut
}

func (g *gate) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) ([]logcl.Record, int64, error) {
	if g.isCut() {
		<-ctx.Done()
		return nil, 0, logcl.NewOutage("read", false, ctx.Err())
	}
	return g.fakeLog.Read(ctx, stream, from, limit, wait)
}

func (g *gate) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	if g.isCut() {
		<-ctx.Done()
		return 0, logcl.NewOutage("append", true, ctx.Err())
	}
	return g.fakeLog.Append(ctx, stream, data)
}

// group is peers that answer from memory, a seeded random one at a time.
type group struct {
	mu      sync.Mutex
	rand    *rand.Rand
	sources []*Source
}

func (g *group) Config(_ context.Context, version int64) ([]byte, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.sources) == 0 {
		return nil, errDown
	}
	return g.sources[g.rand.IntN(len(g.sources))].Since(version), nil
}

// cluster runs entries over one log and agents that live on peers.
type cluster struct {
	t      *testing.T
	log    *fakeLog
	gates  []*gate
	peers  *group
	all    []*Source
	agents []*Source
	ctx    context.Context
}

func newCluster(t *testing.T, entries, agents int, opts Options) *cluster {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	c := &cluster{t: t, log: newLog(), peers: &group{rand: rand.New(rand.NewPCG(1, 2))}, ctx: ctx}
	var wg sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	for i := range entries {
		g := &gate{fakeLog: c.log}
		c.gates = append(c.gates, g)
		own := opts
		own.Log, own.Peers, own.Self = g, c.peers, fmt.Sprint("entry-", i)
		c.all = append(c.all, c.start(&wg, own))
	}
	c.peers.sources = c.all[:entries]
	for range agents {
		c.agents = append(c.agents, c.start(&wg, Options{Peers: c.peers}))
	}
	c.all = append(c.all[:entries:entries], c.agents...)
	return c
}

// start runs a Source that also checks that versions only rise.
func (c *cluster) start(wg *sync.WaitGroup, opts Options) *Source {
	last := int64(0)
	opts.Deliver = func(version int64, _ *rules.Rules) {
		if version <= last {
			c.t.Errorf("version %d was delivered after %d", version, last)
		}
		last = version
	}
	s := New(opts)
	wg.Go(func() { s.Run(c.ctx) })
	return s
}

func (c *cluster) publish(entry int, base int64, text string) (int64, error) {
	ctx, cancel := context.WithTimeout(c.ctx, 10*time.Second)
	defer cancel()
	doc, err := fold.Parse("", []byte(text))
	require.NoError(c.t, err)
	return c.all[entry].Publish(ctx, fmt.Sprint(entry, "/", base, "/", text), base, "ana", doc)
}

// requireEverywhere checks that every process has the version once the bound has passed since acceptance.
func (c *cluster) requireEverywhere(version int64) {
	c.t.Helper()
	// Heartbeats tell the agents of the version within a second.
	time.Sleep(time.Second)
	for _, a := range c.agents {
		a.Hint(version)
	}
	time.Sleep(inForce - time.Second)
	synctest.Wait()
	for i, s := range c.all {
		got, _ := s.Current()
		require.Equal(c.t, version, got, "process %d", i)
	}
}
