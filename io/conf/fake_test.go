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

// propagationBound is the specified time within which an accepted version is in force in every process.
const propagationBound = 4 * time.Second

var errDown = errors.New("down")

// fakeLog is an in-memory log that simulates the faults of the platform's log.
type fakeLog struct {
	mu      sync.Mutex
	records [][]byte
	first   int64
	changed chan struct{}
	down    bool
	lose    int
}

func newLog() *fakeLog { return &fakeLog{first: 1, changed: make(chan struct{})} }

func (l *fakeLog) set(update func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	update()
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

// link is one process's connection to the log; while it is cut, calls block until their deadline.
type link struct {
	*fakeLog
	mu  sync.Mutex
	cut bool
}

func (g *link) isCut() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cut
}

func (g *link) setCut(cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut = cut
}

func (g *link) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) ([]logcl.Record, int64, error) {
	if g.isCut() {
		<-ctx.Done()
		return nil, 0, logcl.NewOutage("read", false, ctx.Err())
	}
	return g.fakeLog.Read(ctx, stream, from, limit, wait)
}

func (g *link) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	if g.isCut() {
		<-ctx.Done()
		return 0, logcl.NewOutage("append", true, ctx.Err())
	}
	return g.fakeLog.Append(ctx, stream, data)
}

// peerGroup responds to each request from a peer chosen by a seeded generator.
type peerGroup struct {
	mu      sync.Mutex
	rand    *rand.Rand
	sources []*Source
}

func (g *peerGroup) Config(_ context.Context, version int64) ([]byte, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.sources) == 0 {
		return nil, errDown
	}
	return g.sources[g.rand.IntN(len(g.sources))].Since(version), nil
}

// cluster runs entries on one log and agents that have only peers.
type cluster struct {
	t      *testing.T
	log    *fakeLog
	links  []*link
	peers  *peerGroup
	all    []*Source
	agents []*Source
	ctx    context.Context
}

func newCluster(t *testing.T, entries, agents int, opts Options) *cluster {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	c := &cluster{t: t, log: newLog(), peers: &peerGroup{rand: rand.New(rand.NewPCG(1, 2))}, ctx: ctx}
	var wg sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	for i := range entries {
		g := &link{fakeLog: c.log}
		c.links = append(c.links, g)
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

// start runs a Source and checks that the delivered versions increase.
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

// requireEverywhere checks that every process has the version propagationBound after it was accepted.
func (c *cluster) requireEverywhere(version int64) {
	c.t.Helper()
	// Heartbeats carry the version to the agents within a second.
	time.Sleep(time.Second)
	for _, a := range c.agents {
		a.Hint(version)
	}
	time.Sleep(propagationBound - time.Second)
	synctest.Wait()
	for i, s := range c.all {
		got, _ := s.Current()
		require.Equal(c.t, version, got, "process %d", i)
	}
}
