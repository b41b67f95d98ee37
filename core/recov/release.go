package recov

import (
	"maps"
	"slices"

	"persimmonstage/core/ident"
)

// Release is the list that a live owner hands over to the next one after its last start for the shard.
type Release struct {
	Shard    int
	Epoch    uint64    // the epoch under which the sender owned the shard
	Complete bool      // the sender had itself recovered every job of earlier owners
	Jobs     []SentJob // every job with a start that was sent or recovered
}

// SentJob lists the agents that may have started tasks of a job.
type SentJob struct {
	Team   string
	ID     string
	Agents []ident.Ident
}

// SentJobs returns the jobs that earlier owners may have started, for a release to the next owner.
func (r *Recovery) SentJobs() []SentJob {
	agents := make(map[key]map[ident.Ident]bool, len(r.jobs)+len(r.release))
	note := func(at key, agent ident.Ident) {
		if agents[at] == nil {
			agents[at] = make(map[ident.Ident]bool)
		}
		agents[at][agent] = true
	}
	for at, job := range r.jobs {
		for _, task := range job.tasks {
			note(at, task.Agent)
		}
	}
	for at, all := range r.release {
		for _, agent := range all {
			note(at, agent)
		}
	}
	sent := make([]SentJob, 0, len(agents))
	for at, all := range agents {
		sent = append(sent, SentJob{Team: at.team, ID: at.id, Agents: slices.SortedFunc(maps.Keys(all), ident.Ident.Compare)})
	}
	return sent
}

// Release adds the previous owner's release, and reports whether it makes waiting for the grace and for all agents unnecessary;
// it must come from the immediately preceding owner and be complete.
func (r *Recovery) Release(rel Release) bool {
	if rel.Shard != r.cfg.Shard || rel.Epoch+1 != r.cfg.Epoch || !rel.Complete || r.release != nil || r.Settled() {
		return false
	}
	r.release = make(map[key][]ident.Ident, len(rel.Jobs))
	for _, job := range rel.Jobs {
		r.release[key{job.Team, job.ID}] = job.Agents
		r.AddAgents(job.Agents, false)
	}
	r.raise(onHandOver)
	return true
}
