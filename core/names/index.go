package names

// Index gives each name a small number to keep table rows under. It holds at most as many names as its bound; past that the
// name not asked for longest loses its number to the new one, so that no caller's choice of names makes tables grow.
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

// Len returns how many numbers have been given out.
func (x *Index) Len() int {
	return len(x.entries)
}

// Number returns the number of a name, and whether it is fresh: new, or taken from a name not used for long. It is valid
// until the next call.
func (x *Index) Number(name string) (n int, fresh bool) {
	x.uses++
	n, ok := x.numbers[name]
	if !ok {
		n = x.take()
		x.entries[n].name = name
		x.numbers[name] = n
	}
	x.entries[n].used = x.uses
	return n, !ok
}

// take returns an unused number, or that of the name not used for longest.
func (x *Index) take() int {
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
