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
	Slots          int    // for how many more tasks of the usual size there is room, waiting orders being counted as tasks
	Scarce         bool   // there is room for so few tasks that entries have to learn of each that begins or ends
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
	s.Slots = int((s.Millicores - min(s.UsedMillicores, s.Millicores)) / max(1, uint64(r.need)))
	s.Scarce = s.Slots < scarceSlots
	if o := r.owners[name]; o != nil {
		s.Seen = o.seen
	}
	return s
}
