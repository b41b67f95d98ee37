package place

import (
	"time"

	"persimmonstage/core/rank"
	"persimmonstage/core/target"
)

// teams is the expected run time of what each team has in flight at each target, from this entry.
type teams map[teamAt][rank.Classes]time.Duration

type teamAt struct {
	team string
	id   target.ID
}

func (t teams) add(team string, id target.ID, class rank.Class, work time.Duration) {
	at := teamAt{team, id}
	all := t[at]
	all[class] += work
	if all == ([rank.Classes]time.Duration{}) {
		delete(t, at)
		return
	}
	t[at] = all
}

// before returns the work of a team that goes before a task of a class.
func (t teams) before(team string, id target.ID, class rank.Class) time.Duration {
	all, sum := t[teamAt{team, id}], time.Duration(0)
	for _, work := range all[:class+1] {
		sum += work
	}
	return sum
}

// Sent books a task of a team at a target, where it was not Place that chose it.
func (p *Placer) Sent(team string, id target.ID, class rank.Class, work time.Duration) {
	p.teams.add(team, id, class, work)
}

// Ended takes back what Place or Sent booked for a team.
func (p *Placer) Ended(team string, id target.ID, class rank.Class, work time.Duration) {
	p.teams.add(team, id, class, -work)
}

// crowded reports whether a target has more waiting than running, as beside a flood.
func (p *Placer) crowded(q *query, id target.ID) bool {
	return !q.task.Needs.Fits(p.roster.Free(id).Add(p.roster.Capacity(id)))
}

// shareWait returns the expected wait at a crowded target: until a running task ends, and for what the team itself has there.
// The agent serves the teams by their shares, so the backlog of the others isn't in front of the task.
func (p *Placer) shareWait(q *query, id target.ID) time.Duration {
	n := float64(max(1, q.task.Needs.FitCount(p.roster.Capacity(id))))
	own := float64(p.teams.before(q.ask.Team, id, q.class))
	return time.Duration(own/(q.ask.TeamFraction*n) + float64(p.roster.MeanRunTime(id))/n)
}
