package bound

// parts is the number of equal parts of the room: for teams, for kinds, and common.
const parts = 3

// overshoot is the multiple of the free common room that one team may hold.
const overshoot = 2

// Bound is a limit on items or bytes that is divided among shares; zero means no limit.
type Bound struct {
	limit int64
}

// Request describes a share that wants to grow.
type Request struct {
	Total        int64   // units held by all
	Team         int64   // units held by the team
	Kind         int64   // units held by the kind in the team
	Add          int64   // units asked for
	TeamFraction float64 // the team's weight over all known weights, 0 to 1
	KindFraction float64 // the kind's weight over the known weights of its team, 0 to 1
}

// New returns a bound of limit units.
func New(limit int64) Bound { return Bound{limit: limit} }

// Limit returns the whole room in units.
func (b Bound) Limit() int64 { return b.limit }

// Full reports whether the whole room is too small for add more units.
func (b Bound) Full(total, add int64) bool {
	return b.limit > 0 && total+add > b.limit
}

// Guarantee returns the units that a share with this part of the weights can always hold.
func (b Bound) Guarantee(part float64) int64 {
	return int64(float64(b.limit) / parts * part)
}

// Admits reports whether a share may grow; a team that holds nothing may always grow once while the room lasts.
func (b Bound) Admits(a Request) bool {
	if b.limit <= 0 {
		return true
	}
	if b.Full(a.Total, a.Add) {
		return false
	}
	if a.Team == 0 || a.Kind+a.Add <= b.Guarantee(a.TeamFraction*a.KindFraction) {
		return true
	}
	if a.Team+a.Add <= b.Guarantee(a.TeamFraction) {
		return true
	}
	free := b.limit/parts - a.Total
	return a.Add <= free && a.Team+a.Add <= overshoot*free
}
