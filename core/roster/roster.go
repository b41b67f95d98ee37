package roster

import (
	"math"
	"time"

	"persimmonstage/core/needs"
	"persimmonstage/core/rank"
	"persimmonstage/core/target"
)

// defaultHeartbeatTimeout is the time without a heartbeat after which a target is removed, unless SetHeartbeatTimeout sets it.
const defaultHeartbeatTimeout = 3 * time.Second

// load is work at a target: the resources held, the number of tasks and the sum of their expected run times there.
type load struct {
	held  needs.Vector
	tasks int
	work  time.Duration
}

// loads is the work at a target in total and by class.
type loads struct {
	all     load
	classes [rank.Classes]load
}

func (l *loads) add(class rank.Class, v needs.Vector, tasks int, work time.Duration) {
	l.all.add(v, tasks, work)
	l.classes[class].add(v, tasks, work)
}

func (l *loads) sub(class rank.Class, v needs.Vector, work time.Duration) {
	l.add(class, needs.Vector{}.Sub(v), -1, -work)
}

func (l *load) add(v needs.Vector, tasks int, work time.Duration) {
	l.held = l.held.Add(v)
	l.tasks += tasks
	l.work += work
}

// row is the state of one target.
type row struct {
	generation  uint32
	known       bool
	leaving     bool
	ejected     bool
	drained     bool
	counted     bool // in Roster.capacities
	limited     bool // to one of the entry's own tasks
	name        string
	incarnation string
	rack        string
	dataCentre  string
	capacity    needs.Vector
	speed       float64 // in speed steps from the mean
	own         loads
	others      loads
	stamp       time.Duration
	groupIndex  int
	position    int
	inRoom      bool
	listed      bool
}

// Roster is the table of targets at one entry. The load of a target is kept in two parts: the entry's own work in flight,
// which is exact, and the work of all other entries as last reported, so that a late report never counts a task twice.
// Targets of similar capacity, data centre and speed share a group with one list of targets that have room and one of those
// that have none: placement samples a few of each group instead of visiting every target.
// The zero value works. A Roster belongs to one goroutine.
type Roster struct {
	rows             []row
	deadline         []time.Time
	freeIndexes      []uint32
	byName           map[string]uint32
	groups           []group
	bySpeed          []int // groups, the fastest first
	groupOf          map[groupKey]int
	heartbeatTimeout time.Duration
	capacities       map[needs.Vector]capacityCount
	total            needs.Vector // capacity of the usable targets
	hosts            int64        // size of the usable targets in thousandths of a host
	now              time.Time    // time passed to the last call that had one
}

// SetHeartbeatTimeout sets the time without a heartbeat after which a target is removed.
func (r *Roster) SetHeartbeatTimeout(d time.Duration) {
	r.heartbeatTimeout = d
}

// Len returns the number of known targets.
func (r *Roster) Len() int {
	return len(r.byName)
}

// Find returns the ID of the current incarnation of the target called name.
func (r *Roster) Find(name string) (target.ID, bool) {
	i, ok := r.byName[name]
	if !ok {
		return 0, false
	}
	return r.id(i), true
}

// Name returns the name of a target, or "" if the ID is of an earlier incarnation.
func (r *Roster) Name(id target.ID) string {
	if t := r.row(id); t != nil {
		return t.name
	}
	return ""
}

// Incarnation returns the incarnation of a target, or "" if the ID is of an earlier one.
func (r *Roster) Incarnation(id target.ID) string {
	if t := r.row(id); t != nil {
		return t.incarnation
	}
	return ""
}

// DataCentre returns the data centre of a target.
func (r *Roster) DataCentre(id target.ID) string {
	if t := r.row(id); t != nil {
		return t.dataCentre
	}
	return ""
}

// Rack returns the rack of a target.
func (r *Roster) Rack(id target.ID) string {
	if t := r.row(id); t != nil {
		return t.rack
	}
	return ""
}

// Usable reports whether a target may get work: known and neither leaving, ejected nor drained.
func (r *Roster) Usable(id target.ID) bool {
	t := r.row(id)
	return t != nil && t.listed
}

// Free returns the unused capacity of a target; a dimension is negative while tasks wait for it.
func (r *Roster) Free(id target.ID) needs.Vector {
	if t := r.row(id); t != nil {
		return t.free()
	}
	return needs.Vector{}
}

// Parallel returns about how many tasks that need v could run at once at all usable targets if they were empty; at least 1.
func (r *Roster) Parallel(v needs.Vector) int {
	return max(1, v.FitCount(r.total))
}

// Total returns the total capacity of the usable targets.
func (r *Roster) Total() needs.Vector { return r.total }

// Hosts returns the size of the usable targets in thousandths of a host: a slot is an eighth of a host, and a target without
// slots is one host.
func (r *Roster) Hosts() int64 { return r.hosts }

// InFlight returns how many of the entry's own tasks a target holds.
func (r *Roster) InFlight(id target.ID) int {
	if t := r.row(id); t != nil {
		return t.own.all.tasks
	}
	return 0
}

// Wait returns the expected time until a task of a class that needs v can start at a target: zero when v fits the free
// capacity, else the time to work off the excess load of its class and those before it; math.MaxInt64 means never.
func (r *Roster) Wait(id target.ID, v needs.Vector, class rank.Class) time.Duration {
	t := r.row(id)
	if t == nil || !v.Fits(t.capacity) || t.atLimit() {
		return math.MaxInt64
	}
	if v.Fits(t.free()) {
		return 0
	}
	ahead := t.heldAhead(class).Add(v)
	over := max(portion(v, t.capacity), portion(ahead.Sub(t.capacity), t.capacity))
	n := max(1, t.own.all.tasks+t.others.all.tasks)
	mean := float64(t.own.all.work+t.others.all.work) / float64(n)
	return time.Duration(over * mean)
}

// heldAhead returns the resources held by the tasks that go before one of a class.
func (t *row) heldAhead(class rank.Class) needs.Vector {
	if class == rank.Classes-1 {
		return t.own.all.held.Add(t.others.all.held)
	}
	var held needs.Vector
	for c := range class + 1 {
		held = held.Add(t.own.classes[c].held).Add(t.others.classes[c].held)
	}
	return held
}

// portion returns the largest ratio of over to capacity in any dimension.
func portion(over, capacity needs.Vector) float64 {
	share := 0.0
	if capacity.Slots > 0 {
		share = max(share, float64(over.Slots)/float64(capacity.Slots))
	}
	if capacity.Cores > 0 {
		share = max(share, float64(over.Cores)/float64(capacity.Cores))
	}
	if capacity.MemoryMB > 0 {
		share = max(share, float64(over.MemoryMB)/float64(capacity.MemoryMB))
	}
	if capacity.Accelerators > 0 {
		share = max(share, float64(over.Accelerators)/float64(capacity.Accelerators))
	}
	return share
}

// atLimit reports whether a limited target already has its one task.
func (t *row) atLimit() bool {
	return t.limited && t.own.all.tasks > 0
}

func (t *row) free() needs.Vector {
	return t.capacity.Sub(t.own.all.held).Sub(t.others.all.held)
}

func (r *Roster) id(i uint32) target.ID {
	return target.New(i, r.rows[i].generation)
}

// row returns the row of a current ID, or nil.
func (r *Roster) row(id target.ID) *row {
	i := id.Index()
	if i >= len(r.rows) {
		return nil
	}
	t := &r.rows[i]
	if !t.known || t.generation != id.Generation() {
		return nil
	}
	return t
}
