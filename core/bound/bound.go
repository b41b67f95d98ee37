package bound

// overshoot is the multiple of the free common room that one share may hold.
const overshoot = 2

// Bound is a limit on items or bytes that is divided among shares; zero means no limit.
type Bound struct {
	limit int64
}

// New returns a bound of limit units.
func New(limit int64) Bound { return Bound{limit: limit} }

// Limit returns the whole room in units.
func (b Bound) Limit() int64 { return b.limit }

// Full reports whether the whole room is too small for add more units.
func (b Bound) Full(total, add int64) bool {
	return b.limit > 0 && total+add > b.limit
}

// Guarantee returns the units that a share with this fraction of the weights (0 to 1) can always hold.
func (b Bound) Guarantee(fraction float64) int64 {
	return int64(float64(b.limit) / 2 * fraction)
}

// Admits reports whether a share that holds share of the total units may add more; an empty share may always have one
// addition while the room lasts.
func (b Bound) Admits(total, share, add int64, fraction float64) bool {
	if b.limit <= 0 {
		return true
	}
	if b.Full(total, add) {
		return false
	}
	if share == 0 || share+add <= b.Guarantee(fraction) {
		return true
	}
	free := b.limit/2 - total - add
	return free >= 0 && share+add <= overshoot*(free+add)
}
