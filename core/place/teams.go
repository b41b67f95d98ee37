package place

import (
	"time"

	"persimmonstage/core/rank"
	"persimmonstage/core/target"
)

// teamWork is the expected run time of this entry's tasks in flight, by team and target.
type teamWork map[teamTarget][rank.Classes]time.Duration

type teamTarget struct {
	team string
	id   target.ID
}

func (t teamWork) add(team string, id target.ID, class rank.Class, work time.Duration) {
	at := teamTarget{team, id}
	all := t[at]
	all[class] += work
	if all == ([rank.Classes]time.Duration{}) {
		delete(t, at)
		return
	}
	t[at] = all
}

// workAhead returns the work of a team that goes before a task of a class.
func (t teamWork) workAhead(team string, id target.ID, class rank.Class) time.Duration {
	all, sum := t[teamTarget{team, id}], time.Duration(0)
	for _, work := range all[:class+1] {
		sum += work
	}
	return sum
}

// Sent books a task of a team at a target that wasn't chosen by Place.
func (p *Placer) Sent(team string, id target.ID, class rank.Class, work time.Duration) {
	p.teamWork.add(team, id, class, work)
}

// Ended undoes the booking of Place or Sent for a team.
func (p *Placer) Ended(team string, id target.ID, class rank.Class, work time.Duration) {
	p.teamWork.add(team, id, class, -work)
}

// backlogged reports whether more work waits at a target than runs there, as happens during a flood.
func (p *Placer) backlogged(q *query, id target.ID) bool {
	return !q.task.Needs.Fits(p.roster.Free(id).Add(p.roster.Capacity(id)))
}

// teamWait returns the expected wait at a backlogged target: until a running task ends, plus the team's own work there. The
// agent serves the teams by their shares, so the task doesn't wait for the backlog of other teams.
func (p *Placer) teamWait(q *query, id target.ID) time.Duration {
	n := float64(max(1, q.task.Needs.FitCount(p.roster.Capacity(id))))
	own := float64(p.teamWork.workAhead(q.req.Team, id, q.class))
	return time.Duration(own/(q.req.TeamFraction*n) + float64(p.roster.MeanRunTime(id))/n)
}
