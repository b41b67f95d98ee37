package evac

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

const (
	// maxDataCentres and maxNameBytes bound what a process keeps and passes on to its peers.
	maxDataCentres = 1024
	maxNameBytes   = 255
)

// Mark states that a data centre is evacuated, or no longer, as of an offset in the log of the operators' requests.
type Mark struct {
	DataCentre string
	Offset     int64
	Evacuated  bool
}

// LimitError is returned for a mark that isn't kept.
type LimitError struct {
	Field        string
	Value, Limit int
}

// Error returns a message that names the field, its value and the limit.
func (e *LimitError) Error() string {
	return fmt.Sprintf("evacuation: %s: %d, limit %d", e.Field, e.Value, e.Limit)
}

// kept is a mark with its position among those of the table.
type kept struct {
	Mark
	position uint64
}

// Table holds the mark of the highest offset for each data centre; the zero value is empty. The order in which marks arrive, and from
// whom, doesn't matter.
type Table struct {
	marks    map[string]kept
	position uint64
}

// Set takes a mark unless one of the same or a higher offset is known, and reports whether this changes if the data centre is evacuated.
func (t *Table) Set(m Mark) (bool, error) {
	old, known := t.marks[m.DataCentre]
	switch {
	case known && m.Offset <= old.Offset:
		return false, nil
	case m.DataCentre == "" || len(m.DataCentre) > maxNameBytes:
		return false, &LimitError{"bytes of the data centre's name", len(m.DataCentre), maxNameBytes}
	case !known && len(t.marks) >= maxDataCentres:
		return false, &LimitError{"data centres", len(t.marks) + 1, maxDataCentres}
	}
	if t.marks == nil {
		t.marks = make(map[string]kept)
	}
	t.position++
	t.marks[m.DataCentre] = kept{m, t.position}
	return m.Evacuated != old.Evacuated, nil
}

// Missing returns the marks that follow from a full list of the requests that stand: an evacuation that lies before the list's end and
// isn't listed was taken back by a record before the end.
func (t *Table) Missing(listed []string, end int64) []Mark {
	var list []Mark
	for _, name := range t.Evacuated() {
		if t.marks[name].Offset < end-1 && !slices.Contains(listed, name) {
			list = append(list, Mark{DataCentre: name, Offset: end - 1})
		}
	}
	return list
}

// Holds reports whether a data centre is evacuated.
func (t *Table) Holds(dataCentre string) bool { return t != nil && t.marks[dataCentre].Evacuated }

// Evacuated returns the evacuated data centres by name.
func (t *Table) Evacuated() []string {
	var list []string
	for _, name := range slices.Sorted(maps.Keys(t.marks)) {
		if t.marks[name].Evacuated {
			list = append(list, name)
		}
	}
	return list
}

// After returns the marks that were taken after a position, oldest first, and the position after them. A new connection begins at
// position 0.
func (t *Table) After(position uint64) ([]Mark, uint64) {
	if position >= t.position {
		return nil, t.position
	}
	var list []kept
	for _, k := range t.marks {
		if k.position > position {
			list = append(list, k)
		}
	}
	slices.SortFunc(list, func(a, b kept) int { return cmp.Compare(a.position, b.position) })
	marks := make([]Mark, len(list))
	for i, k := range list {
		marks[i] = k.Mark
	}
	return marks, t.position
}
