package subset

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// subsetSize is the number of entries to which an agent offers its target. With fewer, the entries of one data centre would be
	// short of targets when all callers use that data centre; each further one costs a heartbeat and a state update per target.
	subsetSize = 12
	// connectGrace is how long an entry that doesn't answer still counts towards subsetSize: two attempts to connect.
	connectGrace = 400 * time.Millisecond
	// releaseDelay is how long an entry must be deselected before its connection is closed, so that the restart of an entry doesn't
	// move its agents twice.
	releaseDelay = 2 * time.Second
)

// member is an entry's address with its rank.
type member struct {
	addr         string
	rank         uint64
	up           bool
	selected     bool
	graceUntil   time.Time
	deselectedAt time.Time
}

// Subset ranks the known entries and selects some of them; create it with New.
type Subset struct {
	self    string
	members []*member // sorted by rank
	byAddr  map[string]*member
}

// New returns an empty subset for the agent named self.
func New(self string) *Subset { return &Subset{self: self, byAddr: make(map[string]*member)} }

// Add adds an entry's address and reports whether it is new.
func (s *Subset) Add(addr string) bool {
	if s.byAddr[addr] != nil {
		return false
	}
	m := &member{addr: addr, rank: xxhash.Sum64String(s.self + " " + addr)}
	at, _ := slices.BinarySearchFunc(s.members, m, func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.addr, b.addr))
	})
	s.members = slices.Insert(s.members, at, m)
	s.byAddr[addr] = m
	return true
}

// Remove removes an entry's address.
func (s *Subset) Remove(addr string) {
	delete(s.byAddr, addr)
	s.members = slices.DeleteFunc(s.members, func(m *member) bool { return m.addr == addr })
}

// Up marks an entry as connected.
func (s *Subset) Up(addr string) {
	if m := s.byAddr[addr]; m != nil {
		m.up = true
	}
}

// Down marks an entry as disconnected.
func (s *Subset) Down(now time.Time, addr string) {
	if m := s.byAddr[addr]; m != nil && m.up {
		m.up = false
		m.graceUntil = now.Add(connectGrace)
	}
}

// Choose updates the selection: the first entries by rank, up to the one with which subsetSize of them are up or within their
// connectGrace.
func (s *Subset) Choose(now time.Time) {
	n := 0
	for _, m := range s.members {
		m.setSelected(now, n < subsetSize)
		if m.up || now.Before(m.graceUntil) {
			n++
		}
	}
}

// Selected reports whether the agent should be connected to an entry.
func (s *Subset) Selected(addr string) bool {
	m := s.byAddr[addr]
	return m != nil && m.selected
}

// Surplus reports whether an entry has been deselected for so long that its connection should be closed.
func (s *Subset) Surplus(now time.Time, addr string) bool {
	m := s.byAddr[addr]
	return m != nil && !m.selected && now.Sub(m.deselectedAt) > releaseDelay
}

func (m *member) setSelected(now time.Time, selected bool) {
	switch {
	case selected && !m.selected && !m.up:
		m.graceUntil = now.Add(connectGrace)
	case !selected && m.selected:
		m.deselectedAt = now
	}
	m.selected = selected
}
