package runs

import "time"

// State is the target's state as reported to an entry; it is plain data.
type State struct {
	Service        string
	DataCentre     string
	Millicores     uint64
	MemoryMB       uint64
	UsedMillicores uint64
	UsedMemoryMB   uint64
	Usable         bool
	Pace           float64
	Failing        int // recent fraction of failed runs, in eighths
	Labels         []string
	Slots          int    // how many more tasks of mean size fit, with waiting orders counted as running
	Scarce         bool   // so few slots are free that each start and end has to be reported to entries
	Process        uint64 // identifies the target's process
	Seen           uint64 // the owner's highest attempt that is included in this state
}

// State returns the target's state for an owner.
func (r *Runs) State(now time.Time, name string) State {
	s := State{Usable: r.usable(now), Pace: r.pace.value(), Failing: r.failing.eighths(), DataCentre: r.dataCentre()}
	if r.instance == nil {
		return s
	}
	s.Process = r.process
	s.Service, s.Labels = r.instance.Service, r.instance.Labels
	s.Millicores, s.MemoryMB = r.instance.Millicores, r.instance.MemoryMB
	s.UsedMillicores, s.UsedMemoryMB = r.committed()
	s.Slots = int((s.Millicores - min(s.UsedMillicores, s.Millicores)) / max(1, uint64(r.meanNeed)))
	s.Scarce = s.Slots < scarceSlots
	if o := r.owners[name]; o != nil {
		s.Seen = o.seen
	}
	return s
}
