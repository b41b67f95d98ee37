package runs

import "time"

// State is what entries are told of the target; it is plain data.
type State struct {
	Service        string
	Millicores     uint64
	MemoryMB       uint64
	UsedMillicores uint64
	UsedMemoryMB   uint64
	Usable         bool
	Pace           float64
	Labels         []string
	Seen           uint64 // the highest attempt of the asking owner that is taken into account
}

// State returns what an owner is told of the target.
func (r *Runs) State(now time.Time, name string) State {
	s := State{Usable: r.usable(now), Pace: r.pace.value()}
	if r.life == nil {
		return s
	}
	s.Service, s.Labels = r.life.Service, r.life.Labels
	s.Millicores, s.MemoryMB = r.life.Millicores, r.life.MemoryMB
	s.UsedMillicores, s.UsedMemoryMB = r.taken()
	if o := r.owners[name]; o != nil {
		s.Seen = o.seen
	}
	return s
}
