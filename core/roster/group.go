package roster

import (
	"math"
	"math/bits"
	"slices"
	"sort"

	"persimmonstage/core/needs"
	"persimmonstage/core/target"
)

// Targets are grouped by speed in steps of a quarter of a doubling. A target changes its step only when its speed is
// stepMargin steps away from the present one, so that it doesn't alternate between two groups.
const (
	stepsPerDoubling = 4
	stepMargin       = 0.75
	maxStep          = 4 * stepsPerDoubling
)

// significantBits is the precision of capacities when targets are grouped.
const significantBits = 3

// groupKey holds the properties that the targets of a group share.
type groupKey struct {
	dataCentre string
	shape      needs.Vector
	speedStep  int
}

// group lists the usable targets of one key, split into those that may be able to start a task at once and the others.
type group struct {
	key     groupKey
	factor  float64
	largest needs.Vector // upper bound of the capacities in each dimension
	room    []uint32
	full    []uint32
}

// Groups returns the number of groups; some may be empty.
func (r *Roster) Groups() int {
	return len(r.groups)
}

// GroupBySpeed returns the i-th group in order of speed, the fastest first.
func (r *Roster) GroupBySpeed(i int) int {
	return r.bySpeed[i]
}

// GroupDataCentre returns the data centre of the targets of a group.
func (r *Roster) GroupDataCentre(g int) string {
	return r.groups[g].key.dataCentre
}

// GroupFactor returns the approximate run time at the targets of a group, relative to the mean over all targets.
func (r *Roster) GroupFactor(g int) float64 {
	return r.groups[g].factor
}

// GroupHolds reports whether v may fit some target of a group when that target is empty.
func (r *Roster) GroupHolds(g int, v needs.Vector) bool {
	return v.Fits(r.groups[g].largest)
}

// GroupRoom returns how many targets of a group have room.
func (r *Roster) GroupRoom(g int) int {
	return len(r.groups[g].room)
}

// GroupFull returns how many targets of a group have no room.
func (r *Roster) GroupFull(g int) int {
	return len(r.groups[g].full)
}

// RoomAt returns the i-th target with room of a group.
func (r *Roster) RoomAt(g, i int) target.ID {
	return r.id(r.groups[g].room[i])
}

// FullAt returns the i-th target without room of a group.
func (r *Roster) FullAt(g, i int) target.ID {
	return r.id(r.groups[g].full[i])
}

// relist moves a target to the list that matches its state, in constant time.
func (r *Roster) relist(i uint32) {
	t := &r.rows[i]
	if t.leaving || t.ejected || t.drained {
		r.unlist(i)
		return
	}
	room := t.hasRoom()
	step := t.speedStep(r.groups)
	if t.listed && t.inRoom == room && r.groups[t.groupIndex].key.speedStep == step {
		return
	}
	r.unlist(i)
	t.groupIndex = r.groupIndex(groupKey{dataCentre: t.dataCentre, shape: shape(t.capacity), speedStep: step})
	g := &r.groups[t.groupIndex]
	g.largest = g.largest.Max(t.capacity)
	list := &g.full
	if room {
		list = &g.room
	}
	r.total = r.total.Add(t.capacity)
	r.hosts += hosts(t.capacity)
	t.position = len(*list)
	t.inRoom = room
	t.listed = true
	*list = append(*list, i)
}

// unlist removes a target from its list; the last one of the list moves into its position.
func (r *Roster) unlist(i uint32) {
	t := &r.rows[i]
	if !t.listed {
		return
	}
	r.total = r.total.Sub(t.capacity)
	r.hosts -= hosts(t.capacity)
	g := &r.groups[t.groupIndex]
	list := &g.full
	if t.inRoom {
		list = &g.room
	}
	last := len(*list) - 1
	moved := (*list)[last]
	(*list)[t.position] = moved
	r.rows[moved].position = t.position
	*list = (*list)[:last]
	t.listed = false
}

func (r *Roster) groupIndex(key groupKey) int {
	if g, ok := r.groupOf[key]; ok {
		return g
	}
	if r.groupOf == nil {
		r.groupOf = map[groupKey]int{}
	}
	r.groups = append(r.groups, group{key: key, factor: math.Exp2(float64(key.speedStep) / stepsPerDoubling)})
	g := len(r.groups) - 1
	r.groupOf[key] = g
	at := sort.Search(len(r.bySpeed), func(i int) bool { return r.groups[r.bySpeed[i]].key.speedStep > key.speedStep })
	r.bySpeed = slices.Insert(r.bySpeed, at, g)
	return g
}

// hasRoom reports whether the smallest task could start now; accelerators are ignored, as few tasks need one.
func (t *row) hasRoom() bool {
	free := t.free()
	return !t.atLimit() && (t.capacity.Slots == 0 || free.Slots > 0) &&
		(t.capacity.Cores == 0 || free.Cores > 0) &&
		(t.capacity.MemoryMB == 0 || free.MemoryMB > 0)
}

// speedStep returns the speed step of a target, which is its present one unless the speed differs by stepMargin steps.
func (t *row) speedStep(groups []group) int {
	at := t.speed
	if t.listed {
		present := groups[t.groupIndex].key.speedStep
		if math.Abs(at-float64(present)) < stepMargin {
			return present
		}
	}
	return min(maxStep, max(-maxStep, int(math.Round(at))))
}

// shape rounds a capacity down so that targets of similar size share a group.
func shape(v needs.Vector) needs.Vector {
	return needs.Vector{
		Slots:        roundDown(v.Slots),
		Cores:        roundDown(v.Cores),
		MemoryMB:     roundDown(v.MemoryMB),
		Accelerators: roundDown(v.Accelerators),
	}
}

func roundDown(n int) int {
	if n <= 0 {
		return 0
	}
	drop := max(0, bits.Len(uint(n))-significantBits)
	return n >> drop << drop
}

const (
	hostThousandths = 1000 // of a host, per target without slots
	slotThousandths = 125  // of a host, per slot
)

// hosts returns the size of a target in thousandths of a host.
func hosts(capacity needs.Vector) int64 {
	if capacity.Slots == 0 {
		return hostThousandths
	}
	return int64(capacity.Slots) * slotThousandths
}
