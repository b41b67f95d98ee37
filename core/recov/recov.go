package recov

// The agents' ledgers are the new owner's only record of earlier starts. A job that is in no ledger counts as never started only
// if no earlier owner can have started it or can still start it, which is established in one of three ways:
//
//   - every agent that may have accepted orders of an earlier owner has answered while carrying the new map, and the grace has
//     passed, so that the old owner neither starts the job nor still answers that it didn't run;
//   - the job was issued later than the time of the fence (from which no agent accepts orders of an earlier owner) plus twice the
//     skew: once for an owner that accepts a job issued in its future, once for the difference of the owners' clocks;
//   - the old owner was alive, has stopped, and has handed over the complete list of what it may have started.
//
// Otherwise the verdict is Wait, and after the answer timeout Unknown.

import (
	"maps"
	"slices"
	"time"

	"persimmonstage/core/ident"
	"persimmonstage/core/ledger"
)

const (
	defaultJobs     = 1_000_000
	defaultPatience = time.Second
)

// Config holds the parameters of a recovery; zero durations and counts take the defaults.
type Config struct {
	Shard         int
	Epoch         uint64        // the epoch under which the new owner owns the shard
	Version       int64         // the version of the map that assigned the shard
	First         bool          // it is the log's first map, so that there was no earlier owner
	Skew          time.Duration // owners refuse jobs issued further in their future; their clocks differ by less
	AnswerTimeout time.Duration // how long after the fence a job that isn't found waits for missing answers
	Jobs          int           // limit of recorded jobs; above it every job that isn't found is Unknown
}

// Recovery is the recovery of one shard by its new owner.
//
// Create one for each gain of package group. Call SetFenced when Group.Fenced reports it, AddAgents until the list is complete,
// AddAnswer for each agent's answer and Release when the old owner hands over. Query the agents returned by Unanswered
// repeatedly; an agent answers with ledger.Ledger.Shard once its fence has adopted Version or a later map. Repeat a lookup that
// returned Wait until the job's deadline. Drop the recovery when the time of Group.Fenced is longer past than the lifetime of
// records.
type Recovery struct {
	cfg            Config
	state          int       // of the chart
	fenced         time.Time // zero until fenced
	agents         map[ident.Ident]bool
	agentsComplete bool // union lists every agent
	jobs           map[key]*found
	release        map[key][]ident.Ident // nil until released
}

type key struct{ team, id string }

type found struct {
	digest ledger.Digest
	tasks  []Task
}

// Task is a task started by an agent.
type Task struct {
	Index uint32
	Agent ident.Ident // the agent that holds its record and result
	State ledger.State
}

// New returns a recovery without agents or answers.
func New(cfg Config) *Recovery {
	if cfg.Jobs <= 0 {
		cfg.Jobs = defaultJobs
	}
	if cfg.AnswerTimeout <= 0 {
		cfg.AnswerTimeout = defaultPatience
	}
	r := &Recovery{cfg: cfg, state: recovery.InitialID(), agents: make(map[ident.Ident]bool), jobs: make(map[key]*found)}
	if cfg.First {
		r.Settle()
	}
	return r
}

// Config returns the recovery's configuration with the defaults filled in.
func (r *Recovery) Config() Config { return r.cfg }

// SetFenced sets the time from which no agent accepts orders of an earlier owner, on the wall clock of this process.
func (r *Recovery) SetFenced(at time.Time) {
	if r.Fenced() {
		return
	}
	r.fenced = at
	r.raise(onFence)
}

// Fenced reports whether no agent accepts orders of an earlier owner any more.
func (r *Recovery) Fenced() bool { return r.Settled() || !r.fenced.IsZero() }

// AddAgents adds agents that may have accepted orders of an earlier owner, and whether the list is now complete; after a complete
// list, calls have no effect.
func (r *Recovery) AddAgents(agents []ident.Ident, complete bool) {
	if r.agentsComplete || r.Settled() {
		return
	}
	for _, agent := range agents {
		if _, ok := r.agents[agent]; !ok {
			r.agents[agent] = false
		}
	}
	r.agentsComplete = complete
	r.checkAllAnswered()
}

// checkAllAnswered raises the event when the list of agents is complete and every agent has answered.
func (r *Recovery) checkAllAnswered() {
	if answered, all := r.Answered(); r.agentsComplete && answered == all {
		r.raise(onAllAnswered)
	}
}

// Unanswered returns the agents that haven't answered, in ascending order.
func (r *Recovery) Unanswered() []ident.Ident {
	var asks []ident.Ident
	for agent, answered := range r.agents {
		if !answered {
			asks = append(asks, agent)
		}
	}
	slices.SortFunc(asks, ident.Ident.Compare)
	return asks
}

// AddAnswer adds an agent's list of the shard's starts; version is that of the map its fence had adopted when it made the list.
func (r *Recovery) AddAnswer(agent ident.Ident, version int64, jobs []ledger.Job) {
	if version < r.cfg.Version || r.agents[agent] || r.Settled() {
		return
	}
	r.agents[agent] = true
	for i := range jobs {
		r.add(agent, &jobs[i])
	}
	r.checkAllAnswered()
}

func (r *Recovery) add(agent ident.Ident, job *ledger.Job) {
	at := key{job.Team, job.ID}
	tasks := started(agent, job.Tasks)
	if len(tasks) == 0 {
		return
	}
	have := r.jobs[at]
	if have == nil {
		if len(r.jobs) >= r.cfg.Jobs {
			r.raise(onOverflow)
			return
		}
		have = &found{digest: job.Digest}
		r.jobs[at] = have
	}
	have.tasks = append(have.tasks, tasks...)
}

// started returns the tasks without the refused ones, which the agent has never started.
func started(agent ident.Ident, all []ledger.Task) []Task {
	var tasks []Task
	for _, task := range all {
		if task.State != ledger.Refused {
			tasks = append(tasks, Task{Index: task.Index, Agent: agent, State: task.State})
		}
	}
	return tasks
}

// Answered returns the number of agents that have answered, and the number of all agents listed.
func (r *Recovery) Answered() (answered, all int) {
	for _, ok := range r.agents {
		if ok {
			answered++
		}
	}
	return answered, len(r.agents)
}

// Clone returns an independent copy.
func (r *Recovery) Clone() *Recovery {
	c := *r
	c.agents = maps.Clone(r.agents)
	c.release = maps.Clone(r.release)
	c.jobs = make(map[key]*found, len(r.jobs))
	for at, job := range r.jobs {
		c.jobs[at] = &found{digest: job.digest, tasks: slices.Clone(job.tasks)}
	}
	return &c
}
