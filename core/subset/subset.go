package subset

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// size is how many entries an agent offers its target to. Fewer would leave the entries of one data centre short of targets
	// when all callers come there; more cost each entry a heartbeat and a state for each target.
	size = 12
	// hope is how long an entry that doesn't answer still counts among the first size: two tries to connect.
	hope = 400 * time.Millisecond
	// settle is how long an entry must not be wanted before it is given up, so that one that restarts doesn't move its agents
	// twice.
	settle = 2 * time.Second
)

// member is an entry's address with its place in the order.
type member struct {
	addr      string
	rank      uint64
	up        bool
	wanted    bool
	hopeUntil time.Time
	surplus   time.Time // since when it isn't wanted
}

// Subset ranks the entries that an agent knows; New makes it.
type Subset struct {
	self    string
	members []*member // in their order
	byAddr  map[string]*member
}

// New returns an empty subset of the agent called self.
func New(self string) *Subset { return &Subset{self: self, byAddr: make(map[string]*member)} }

// Add enters an entry's address, unless it is known, and reports whether it was news.
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

// Up notes that an entry answers.
func (s *Subset) Up(addr string) {
	if m := s.byAddr[addr]; m != nil {
		m.up = true
	}
}

// Down notes that an entry's connection has ended.
func (s *Subset) Down(now time.Time, addr string) {
	if m := s.byAddr[addr]; m != nil && m.up {
		m.up = false
		m.hopeUntil = now.Add(hope)
	}
}

// Choose decides anew which entries are wanted: the first ones in the order up to that which makes size of them up or hopeful.
func (s *Subset) Choose(now time.Time) {
	n := 0
	for _, m := range s.members {
		m.want(now, n < size)
		if m.up || now.Before(m.hopeUntil) {
			n++
		}
	}
}

// Selected reports whether a connection to an entry is wanted.
func (s *Subset) Selected(addr string) bool {
	m := s.byAddr[addr]
	return m != nil && m.wanted
}

// Surplus reports whether an entry has not been wanted for so long that its connection is given up.
func (s *Subset) Surplus(now time.Time, addr string) bool {
	m := s.byAddr[addr]
	return m != nil && !m.wanted && now.Sub(m.surplus) > settle
}

func (m *member) want(now time.Time, wanted bool) {
	switch {
	case wanted && !m.wanted && !m.up:
		m.hopeUntil = now.Add(hope)
	case !wanted && m.wanted:
		m.surplus = now
	}
	m.wanted = wanted
}
