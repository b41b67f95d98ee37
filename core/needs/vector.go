package needs

import (
	"fmt"
	"math"
)

// Names of the dimensions in callers' requests and in the configuration.
const (
	slotsName        = "slots"
	coresName        = "cores"
	memoryName       = "memory-mb"
	acceleratorsName = "accelerators"
)

// Vector is an amount of each resource of a target; it is plain, comparable data, and the zero value is no resources.
type Vector struct {
	Slots        int `json:"slots" toml:"slots" doc:"tasks at once; 1 a task by default"`
	Cores        int `json:"cores" toml:"cores" doc:"processor cores"`
	MemoryMB     int `json:"memory-mb" toml:"memory-mb" doc:"memory in MB"`
	Accelerators int `json:"accelerators" toml:"accelerators" doc:"accelerators"`
}

// Add returns the sum of v and w.
func (v Vector) Add(w Vector) Vector {
	v.Slots += w.Slots
	v.Cores += w.Cores
	v.MemoryMB += w.MemoryMB
	v.Accelerators += w.Accelerators
	return v
}

// Sub returns v minus w; dimensions of the result may be negative.
func (v Vector) Sub(w Vector) Vector {
	v.Slots -= w.Slots
	v.Cores -= w.Cores
	v.MemoryMB -= w.MemoryMB
	v.Accelerators -= w.Accelerators
	return v
}

// Max returns the maximum of v and w in each dimension.
func (v Vector) Max(w Vector) Vector {
	v.Slots = max(v.Slots, w.Slots)
	v.Cores = max(v.Cores, w.Cores)
	v.MemoryMB = max(v.MemoryMB, w.MemoryMB)
	v.Accelerators = max(v.Accelerators, w.Accelerators)
	return v
}

// Fits reports whether v is at most free in every dimension.
func (v Vector) Fits(free Vector) bool {
	return v.Slots <= free.Slots &&
		v.Cores <= free.Cores &&
		v.MemoryMB <= free.MemoryMB &&
		v.Accelerators <= free.Accelerators
}

// FitCount returns how many times v fits into free; a zero v counts as one slot.
func (v Vector) FitCount(free Vector) int {
	if v == (Vector{}) {
		v.Slots = 1
	}
	n := math.MaxInt
	n = fitCount(n, v.Slots, free.Slots)
	n = fitCount(n, v.Cores, free.Cores)
	n = fitCount(n, v.MemoryMB, free.MemoryMB)
	return fitCount(n, v.Accelerators, free.Accelerators)
}

func fitCount(n, wanted, free int) int {
	if wanted <= 0 {
		return n
	}
	return max(0, min(n, free/wanted))
}

const thousandths = 1000

// DominantShare returns the largest share of a capacity that v needs in any dimension, in thousandths; a dimension with no
// capacity is ignored.
func (v Vector) DominantShare(capacity Vector) int64 {
	return max(share(v.Slots, capacity.Slots), share(v.Cores, capacity.Cores),
		share(v.MemoryMB, capacity.MemoryMB), share(v.Accelerators, capacity.Accelerators))
}

func share(need, capacity int) int64 {
	if capacity <= 0 {
		return 0
	}
	return int64(need) * thousandths / int64(capacity)
}

// FirstExceeding names the first dimension of v that exceeds free, or returns "" when v fits.
func (v Vector) FirstExceeding(free Vector) string {
	switch {
	case v.Slots > free.Slots:
		return slotsName
	case v.Cores > free.Cores:
		return coresName
	case v.MemoryMB > free.MemoryMB:
		return memoryName
	case v.Accelerators > free.Accelerators:
		return acceleratorsName
	}
	return ""
}

// FirstNegative names the first dimension below zero, or returns "" when there is none.
func (v Vector) FirstNegative() string {
	return Vector{}.FirstExceeding(v)
}

// DimensionIndex returns the position of a dimension in the order in which FirstExceeding checks them; "", for a vector that
// fits, comes last.
func DimensionIndex(name string) int {
	switch name {
	case slotsName:
		return 0
	case coresName:
		return 1
	case memoryName:
		return 2
	case acceleratorsName:
		return 3
	}
	return 4
}

// Amount returns the amount of the dimension called name, or zero for an unknown name.
func (v Vector) Amount(name string) int {
	switch name {
	case slotsName:
		return v.Slots
	case coresName:
		return v.Cores
	case memoryName:
		return v.MemoryMB
	case acceleratorsName:
		return v.Accelerators
	}
	return 0
}

// String lists the dimensions for log lines and errors.
func (v Vector) String() string {
	return fmt.Sprintf("%s %d, %s %d, %s %d, %s %d", slotsName, v.Slots, coresName, v.Cores,
		memoryName, v.MemoryMB, acceleratorsName, v.Accelerators)
}
