package names

// Index assigns each name a small number that indexes table rows. It holds at most bound names; beyond that a new name gets
// the number of the least recently used one, so that callers can't make tables grow by the names that they choose.
// An Index belongs to one goroutine.
type Index struct {
	bound   int
	numbers map[string]int
	entries []entry
	uses    uint64
}

type entry struct {
	name string
	used uint64
}

// New returns an Index of at most bound names.
func New(bound int) *Index {
	return &Index{bound: bound, numbers: map[string]int{}}
}

// Len returns how many numbers have been assigned.
func (x *Index) Len() int {
	return len(x.entries)
}

// Number returns the number of a name, and whether it was assigned by this call: a new one, or that of the least recently used
// name. The number is valid until the next call.
func (x *Index) Number(name string) (n int, fresh bool) {
	x.uses++
	n, ok := x.numbers[name]
	if !ok {
		n = x.allocate()
		x.entries[n].name = name
		x.numbers[name] = n
	}
	x.entries[n].used = x.uses
	return n, !ok
}

// allocate returns an unused number, or that of the least recently used name.
func (x *Index) allocate() int {
	if len(x.entries) < x.bound {
		x.entries = append(x.entries, entry{})
		return len(x.entries) - 1
	}
	oldest := 0
	for n := range x.entries {
		if x.entries[n].used < x.entries[oldest].used {
			oldest = n
		}
	}
	delete(x.numbers, x.entries[oldest].name)
	return oldest
}
