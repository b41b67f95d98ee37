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
	mu        sync.Mutex
	seen      map[uint64]bool
	steps     int
	next      []*node
	violation *node
}

type node struct {
	w      *world
	parent *node
	name   string
}

func (n *node) history() string {
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

// run searches to the given depth, or until a guarantee is violated.
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
		if s.violation != nil {
			return
		}
	}
}

func (s *search) expand(n *node) {
	for _, a := range append(n.w.nextActions(s.submits), n.w.faultActions(s.faults)...) {
		s.add(&node{w: n.w.take(a), parent: n, name: a.name})
	}
	n.w = nil
}

func (s *search) add(n *node) {
	if !s.release {
		n.w.checkFences()
	}
	key := n.w.key()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.steps++
	if len(n.w.errs) > 0 {
		if s.violation == nil || n.history() < s.violation.history() {
			s.violation = n
		}
		return
	}
	if !s.seen[key] {
		s.seen[key] = true
		s.next = append(s.next, n)
	}
}

func prepare(t require.TestingT, sc scenario, f flaw) *world {
	w := newSettledWorld(t, f, max(sc.shards, 2), 3, 2, 1)
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

// TestSearch requires that no reachable state violates a guarantee; PROOF_EXTRA_DEPTH adds actions to each history.
func TestSearch(t *testing.T) {
	states, edges := 0, 0
	for _, sc := range scenarios() {
		t.Run(sc.name, func(t *testing.T) {
			s := newSearch(sc, prepare(t, sc, sound))
			depth := sc.depth - raceDepth + extraDepth(t)
			s.run(depth)
			if s.violation != nil {
				t.Fatal(s.violation.history())
			}
			states, edges = states+len(s.seen), edges+s.steps
			t.Logf("%d states, %d steps, depth %d", len(s.seen), s.steps, depth)
		})
	}
	t.Logf("in all %d states, %d steps", states, edges)
}

// TestSearchFindsEachFlaw shows that each mechanism is needed: without it the search finds a violation.
func TestSearchFindsEachFlaw(t *testing.T) {
	for _, sc := range scenarios() {
		for _, f := range sc.flaws {
			t.Run(sc.name+"/"+f.String(), func(t *testing.T) {
				s := newSearch(sc, prepare(t, sc, f))
				s.run(sc.depth)
				require.NotNil(t, s.violation, "%d states", len(s.seen))
				t.Logf("%d states: %s", len(s.seen), s.violation.history())
			})
		}
	}
}

func (f flaw) String() string {
	return [...]string{
		"sound", "no majority", "no stamp", "no grace", "no seal", "no query", "no ledger", "no refusal", "no epoch", "no fence",
		"no roster", "no unsealed", "no identity", "no incarnation",
	}[f]
}
