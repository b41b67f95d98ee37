package ledger

// Records are kept per job, since most jobs have several tasks at an agent, and in one table per shard, since a new owner
// requests a whole shard. Expiry uses one bucket per second of deadline, which costs one list entry per job and needs no heap.
// Results are dropped oldest first when they exceed their limit. The fact that a task was started is kept until its record
// expires, because it prevents a second start.

import "time"

const (
	defaultMargin  = 30 * time.Second
	defaultResults = 256 << 20 // bytes
	defaultStarts  = 2_000_000 // tasks
)

// Config sets the limits of a ledger; zero fields take the defaults.
type Config struct {
	Since   time.Time     // start of this incarnation, from which the ledger is complete
	Margin  time.Duration // how long a record is kept after its job's deadline
	Results int           // limit of kept results, in bytes
	Starts  int           // limit of recorded tasks
}

// Ledger records each start before it is made and refuses a second one; the zero value is ready to use.
//
// Call Start immediately before sending a task to the target, and send it only if Start returns nil. Call Finish when the target
// has answered, Refuse before reporting to an owner that a task wasn't started and may be sent elsewhere, and Expire about once a
// second.
type Ledger struct {
	cfg          Config
	shards       map[int]map[name]*record
	buckets      map[int64][]*record
	lowestBucket int64 // no bucket is below this second
	starts       int
	bytes        int
	results      queue
}

type name struct{ team, id string }

type record struct {
	name   name
	digest Digest
	shard  int32
	tasks  []Task
}

// New returns an empty ledger.
func New(cfg Config) *Ledger { return &Ledger{cfg: cfg} }

// Since returns the time from which the ledger is complete.
func (l *Ledger) Since() time.Time { return l.cfg.Since }

// Starts returns the number of recorded tasks, started or refused.
func (l *Ledger) Starts() int { return l.starts }

// Bytes returns the size of the kept results in bytes.
func (l *Ledger) Bytes() int { return l.bytes }

// Start records that a task is about to be sent to the target; if it returns a *Refusal, the task must not be sent.
func (l *Ledger) Start(now time.Time, key Key, shard int, digest Digest, deadline time.Time) error {
	return l.add(now, key, shard, digest, deadline, Started)
}

// Refuse records that a task is not started here, so that a later copy of the start is refused too and the owner may start the
// task elsewhere. On a *Refusal nothing is recorded: Withdrawn, Different, Expired and Full may be passed on unchanged, but
// Duplicate means that the task has been started and must not be reported as refused.
func (l *Ledger) Refuse(now time.Time, key Key, shard int, digest Digest, deadline time.Time) error {
	return l.add(now, key, shard, digest, deadline, Refused)
}

func (l *Ledger) add(now time.Time, key Key, shard int, digest Digest, deadline time.Time, state State) error {
	if !deadline.After(now) {
		return &Refusal{Reason: Expired, Key: key}
	}
	at := name{key.Team, key.ID}
	rec := l.shards[shard][at]
	switch {
	case rec != nil && rec.digest != digest:
		return &Refusal{Reason: Different, Key: key}
	case rec != nil && rec.find(key.Index) != nil:
		return &Refusal{Reason: rec.find(key.Index).refusalReason(), Key: key}
	case l.starts >= l.maxStarts():
		return &Refusal{Reason: Full, Key: key}
	}
	if rec == nil {
		rec = &record{name: at, digest: digest, shard: int32(shard)}
		l.insert(rec, deadline)
	}
	rec.tasks = append(rec.tasks, Task{Index: key.Index, State: state})
	l.starts++
	return nil
}

// refusalReason returns the reason why a task that is already recorded isn't started.
func (t *Task) refusalReason() Reason {
	if t.State == Refused {
		return Withdrawn
	}
	return Duplicate
}

// Finish records the result of a started task, and reports whether the task had none yet; the caller must not modify the result
// afterwards.
func (l *Ledger) Finish(key Key, shard int, result []byte, failed bool) bool {
	rec := l.shards[shard][name{key.Team, key.ID}]
	if rec == nil {
		return false
	}
	task := rec.find(key.Index)
	if task == nil || task.State != Started {
		return false
	}
	task.State, task.Failed, task.Result = Finished, failed, result
	if len(result) > 0 {
		l.bytes += len(result)
		l.results.push(keptResult{rec, key.Index})
		l.shrink()
	}
	return true
}

// Task returns the record of one task, and whether it exists.
func (l *Ledger) Task(key Key, shard int) (Task, bool) {
	rec := l.shards[shard][name{key.Team, key.ID}]
	if rec == nil {
		return Task{}, false
	}
	task := rec.find(key.Index)
	if task == nil {
		return Task{}, false
	}
	return *task, true
}

// Job returns the record of a submission, with results, and whether it exists.
func (l *Ledger) Job(team, id string, shard int) (Job, bool) {
	rec := l.shards[shard][name{team, id}]
	if rec == nil {
		return Job{}, false
	}
	return rec.job(true), true
}

// Shard returns the records of a shard, without results, in no particular order.
func (l *Ledger) Shard(shard int) []Job {
	jobs := make([]Job, 0, len(l.shards[shard]))
	for _, rec := range l.shards[shard] {
		jobs = append(jobs, rec.job(false))
	}
	return jobs
}

func (l *Ledger) maxStarts() int {
	if l.cfg.Starts > 0 {
		return l.cfg.Starts
	}
	return defaultStarts
}

func (l *Ledger) maxResults() int {
	if l.cfg.Results > 0 {
		return l.cfg.Results
	}
	return defaultResults
}

func (l *Ledger) margin() time.Duration {
	if l.cfg.Margin > 0 {
		return l.cfg.Margin
	}
	return defaultMargin
}

func (l *Ledger) insert(rec *record, deadline time.Time) {
	if l.shards == nil {
		l.shards = make(map[int]map[name]*record)
		l.buckets = make(map[int64][]*record)
	}
	shard := int(rec.shard)
	if l.shards[shard] == nil {
		l.shards[shard] = make(map[name]*record)
	}
	l.shards[shard][rec.name] = rec
	second := deadline.Add(l.margin()).Unix() + 1
	if len(l.buckets) == 0 || second < l.lowestBucket {
		l.lowestBucket = second
	}
	l.buckets[second] = append(l.buckets[second], rec)
}

func (r *record) find(index uint32) *Task {
	for i := range r.tasks {
		if r.tasks[i].Index == index {
			return &r.tasks[i]
		}
	}
	return nil
}

func (r *record) job(results bool) Job {
	job := Job{Team: r.name.team, ID: r.name.id, Digest: r.digest, Tasks: make([]Task, len(r.tasks))}
	copy(job.Tasks, r.tasks)
	if !results {
		for i := range job.Tasks {
			job.Tasks[i].Result = nil
		}
	}
	return job
}
