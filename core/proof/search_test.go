package proof

import (
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

const workers = 4

// search visits, breadth first, every state that a scenario can reach within a number of actions.
type search struct {
	scenario
	mu    sync.Mutex
	seen  map[uint64]bool
	edges int
	next  []*node
	found *node
}

type node struct {
	w      *world
	parent *node
	name   string
}

func (n *node) trail() string {
	var names []string
	for at := n; at.parent != nil; at = at.parent {
		names = append([]string{at.name}, names...)
	}
	return strings.Join(n.w.errs, "; ") + "\n  " + strings.Join(names, "\n  ")
}

func newSearch(sc scenario, w *world) *search {
	s := &search{scenario: sc, seen: map[uint64]bool{}}
	s.add(&node{w: w})
	return s
}

// run goes as deep as told, or until a promise is broken.
func (s *search) run(depth int) {
	for range depth {
		level := s.next
		s.next = nil
		var wg sync.WaitGroup
		for first := range workers {
			wg.Go(func() {
				for i := first; i < len(level); i += workers {
					s.expand(level[i])
				}
			})
		}
		wg.Wait()
		if s.found != nil {
			return
		}
	}
}

func (s *search) expand(n *node) {
	for _, a := range append(n.w.moves(s.submits), n.w.faults(s.faults)...) {
		s.add(&node{w: n.w.take(a), parent: n, name: a.name})
	}
	n.w = nil
}

func (s *search) add(n *node) {
	if !s.release {
		n.w.obeyed()
	}
	key := n.w.key()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.edges++
	if len(n.w.errs) > 0 {
		if s.found == nil || n.trail() < s.found.trail() {
			s.found = n
		}
		return
	}
	if !s.seen[key] {
		s.seen[key] = true
		s.next = append(s.next, n)
	}
}

func prepare(t require.TestingT, sc scenario, f flaw) *world {
	w := settled(t, f, max(sc.shards, 2), 3, 2, 1)
	w.jobs[0].shard = w.entries[0].g.Gains()[0].Shard
	w.errs = nil
	if sc.setup != nil {
		sc.setup(w)
	}
	return w
}

func extraDepth(t *testing.T) int {
	extra, err := strconv.Atoi(os.Getenv("PROOF_EXTRA_DEPTH"))
	if err != nil && os.Getenv("PROOF_EXTRA_DEPTH") != "" {
		t.Fatal("PROOF_EXTRA_DEPTH:", err)
	}
	return extra
}

// TestSearch finds no broken promise; PROOF_EXTRA_DEPTH adds actions to each history.
func TestSearch(t *testing.T) {
	states, edges := 0, 0
	for _, sc := range scenarios() {
		t.Run(sc.name, func(t *testing.T) {
			s := newSearch(sc, prepare(t, sc, sound))
			depth := sc.depth - raceDepth + extraDepth(t)
			s.run(depth)
			if s.found != nil {
				t.Fatal(s.found.trail())
			}
			states, edges = states+len(s.seen), edges+s.edges
			t.Logf("%d states, %d steps, depth %d", len(s.seen), s.edges, depth)
		})
	}
	t.Logf("in all %d states, %d steps", states, edges)
}

// TestSearchFindsEachFlaw shows that each mechanism is needed: without it the search finds a broken promise.
func TestSearchFindsEachFlaw(t *testing.T) {
	for _, sc := range scenarios() {
		for _, f := range sc.breaks {
			t.Run(sc.name+"/"+f.String(), func(t *testing.T) {
				s := newSearch(sc, prepare(t, sc, f))
				s.run(sc.depth)
				require.NotNil(t, s.found, "%d states", len(s.seen))
				t.Logf("%d states: %s", len(s.seen), s.found.trail())
			})
		}
	}
}

func (f flaw) String() string {
	return [...]string{
		"sound", "no majority", "no stamp", "no grace", "no seal", "no asking", "no ledger", "no refusal", "no epoch", "no fence",
		"no roster", "no open", "no identity", "no incarnation",
	}[f]
}
