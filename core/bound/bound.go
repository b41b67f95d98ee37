package bound

// parts is the number of equal parts of the capacity: for teams, for kinds, and common.
const parts = 3

// overshoot is the multiple of the free common capacity that one team may hold.
const overshoot = 2

// Bound is a limit on items or bytes that is divided among shares; zero means no limit.
type Bound struct {
	limit int64
}

// Request describes a share that asks for more units.
type Request struct {
	Total        int64   // units held by all shares
	Team         int64   // units held by the team
	Kind         int64   // units held by the kind in the team
	Add          int64   // units requested
	TeamFraction float64 // the team's weight over all known weights, 0 to 1
	KindFraction float64 // the kind's weight over the known weights of its team, 0 to 1
}

// New returns a bound of limit units.
func New(limit int64) Bound { return Bound{limit: limit} }

// Limit returns the whole capacity in units.
func (b Bound) Limit() int64 { return b.limit }

// Full reports whether add more units would exceed the whole capacity.
func (b Bound) Full(total, add int64) bool {
	return b.limit > 0 && total+add > b.limit
}

// Guarantee returns the units that a share with this fraction of the weights can always hold.
func (b Bound) Guarantee(fraction float64) int64 {
	return int64(float64(b.limit) / parts * fraction)
}

// Admits reports whether a share may grow; a team that holds nothing may always grow once while capacity is left.
func (b Bound) Admits(r Request) bool {
	if b.limit <= 0 {
		return true
	}
	if b.Full(r.Total, r.Add) {
		return false
	}
	if r.Team == 0 || r.Kind+r.Add <= b.Guarantee(r.TeamFraction*r.KindFraction) {
		return true
	}
	if r.Team+r.Add <= b.Guarantee(r.TeamFraction) {
		return true
	}
	free := b.limit/parts - r.Total
	return r.Add <= free && r.Team+r.Add <= overshoot*free
}
