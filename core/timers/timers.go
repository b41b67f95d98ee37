package timers

import "time"

// Timers is a binary heap of values with the times at which they are due; the zero value is empty and ready.
type Timers[T any] struct {
	rows []row[T]
}

type row[T any] struct {
	at    time.Time
	value T
}

// Len gives the number of values that are not due yet.
func (t *Timers[T]) Len() int { return len(t.rows) }

// Add keeps v until at.
func (t *Timers[T]) Add(at time.Time, v T) {
	t.rows = append(t.rows, row[T]{at, v})
	i := len(t.rows) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !t.rows[i].at.Before(t.rows[parent].at) {
			return
		}
		t.rows[i], t.rows[parent] = t.rows[parent], t.rows[i]
		i = parent
	}
}

// Due takes out the earliest value whose time is not after now.
func (t *Timers[T]) Due(now time.Time) (T, bool) {
	var none T
	if len(t.rows) == 0 || t.rows[0].at.After(now) {
		return none, false
	}
	v := t.rows[0].value
	last := len(t.rows) - 1
	t.rows[0] = t.rows[last]
	t.rows[last] = row[T]{}
	t.rows = t.rows[:last]
	t.sink(0)
	return v, true
}

func (t *Timers[T]) sink(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(t.rows); child++ {
			if t.rows[child].at.Before(t.rows[least].at) {
				least = child
			}
		}
		if least == i {
			return
		}
		t.rows[i], t.rows[least] = t.rows[least], t.rows[i]
		i = least
	}
}
