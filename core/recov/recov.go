package recov

// The agents are the record of what was started; the new owner has nothing else. A job that no agent knows may be called fresh
// only when no earlier owner can have started it, nor can still start it, which is known in one of three ways:
//
//   - every agent that may have obeyed an earlier owner has answered while carrying the new map, and the grace has passed, so
//     that the old owner neither starts it nor still claims that it didn't run;
//   - the job was issued after the moment from which on no agent obeys an earlier owner, with twice the skew between: once for
//     an owner that accepts a job issued in its future, once for the owners' clocks;
//   - the old owner was alive, has stopped, and handed over the complete list of what it may have started.
//
// Else the answer is to wait, and after the patience, that nobody knows.

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

// Config is what a recovery must know; zero durations and counts take the defaults.
type Config struct {
	Shard         int
	Epoch         uint64        // the epoch under which the new owner owns the shard
	Version       int64         // the map that gave it
	First         bool          // the log's first map: there was no earlier owner
	Skew          time.Duration // an owner refuses a job issued further in its future; owners' clocks differ by less
	AnswerTimeout time.Duration // how long after the fence a job that isn't found waits for agents that are silent
	Jobs          int           // jobs remembered; beyond it what isn't found is unknown
}

// Recovery is the recovery of one shard by its new owner.
//
// The caller creates one for each gain of package group and delivers Fence when Group.Fenced says so, Union until it is
// complete, Answer for each agent's answer, Release when the old owner hands over. It asks the agents that Asks lists, again and
// again. An agent answers with ledger.Ledger.Shard, and only once its fence has adopted Version or a later map. A request that
// gets Wait is asked again a little later, until its deadline. It drops the recovery when Group.Fenced is longer past than the
// lifetime of records.
type Recovery struct {
	cfg     Config
	state   int       // of the chart
	fenced  time.Time // zero until fenced
	union   map[ident.Ident]bool
	whole   bool // union lists every agent
	jobs    map[key]*found
	release map[key][]ident.Ident // nil until released
}

type key struct{ team, id string }

type found struct {
	digest ledger.Digest
	tasks  []Task
}

// Task is a task that an agent has started.
type Task struct {
	Index uint32
	Agent ident.Ident // who has the record, and the result
	State ledger.State
}

// New returns a recovery that knows nothing yet.
func New(cfg Config) *Recovery {
	if cfg.Jobs <= 0 {
		cfg.Jobs = defaultJobs
	}
	if cfg.AnswerTimeout <= 0 {
		cfg.AnswerTimeout = defaultPatience
	}
	r := &Recovery{cfg: cfg, state: recovery.InitialID(), union: make(map[ident.Ident]bool), jobs: make(map[key]*found)}
	if cfg.First {
		r.Settle()
	}
	return r
}

// Config returns what the recovery was made with.
func (r *Recovery) Config() Config { return r.cfg }

// SetFenced says since when no agent obeys an earlier owner; the moment is on the wall clock of this process.
func (r *Recovery) SetFenced(at time.Time) {
	if r.Fenced() {
		return
	}
	r.fenced = at
	r.raise(onFence)
}

// Fenced reports whether no agent obeys an earlier owner any more.
func (r *Recovery) Fenced() bool { return r.Settled() || !r.fenced.IsZero() }

// AddAgents gives the agents that may have obeyed an earlier owner, and whether they are all; after a complete list it changes
// nothing more.
func (r *Recovery) AddAgents(agents []ident.Ident, complete bool) {
	if r.whole || r.Settled() {
		return
	}
	for _, agent := range agents {
		if _, ok := r.union[agent]; !ok {
			r.union[agent] = false
		}
	}
	r.whole = complete
	r.count()
}

// count looks whether the agent that has just answered, or the list that has just become complete, was the last to be waited for.
func (r *Recovery) count() {
	if heard, all := r.Answered(); r.whole && heard == all {
		r.raise(onAllAnswered)
	}
}

// Unanswered returns the agents that haven't answered, in order.
func (r *Recovery) Unanswered() []ident.Ident {
	var asks []ident.Ident
	for agent, heard := range r.union {
		if !heard {
			asks = append(asks, agent)
		}
	}
	slices.SortFunc(asks, ident.Ident.Compare)
	return asks
}

// AddAnswer takes what an agent has started of the shard; version is the map that its fence had adopted when it made the list.
func (r *Recovery) AddAnswer(agent ident.Ident, version int64, jobs []ledger.Job) {
	if version < r.cfg.Version || r.union[agent] || r.Settled() {
		return
	}
	r.union[agent] = true
	for i := range jobs {
		r.add(agent, &jobs[i])
	}
	r.count()
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

// started leaves out the refused tasks: the agent has never started them.
func started(agent ident.Ident, all []ledger.Task) []Task {
	var tasks []Task
	for _, task := range all {
		if task.State != ledger.Refused {
			tasks = append(tasks, Task{Index: task.Index, Agent: agent, State: task.State})
		}
	}
	return tasks
}

// Answered returns how many agents have answered, and how many are known that must.
func (r *Recovery) Answered() (heard, all int) {
	for _, ok := range r.union {
		if ok {
			heard++
		}
	}
	return heard, len(r.union)
}

// Clone returns an independent copy.
func (r *Recovery) Clone() *Recovery {
	c := *r
	c.union = maps.Clone(r.union)
	c.release = maps.Clone(r.release)
	c.jobs = make(map[key]*found, len(r.jobs))
	for at, job := range r.jobs {
		c.jobs[at] = &found{digest: job.digest, tasks: slices.Clone(job.tasks)}
	}
	return &c
}
