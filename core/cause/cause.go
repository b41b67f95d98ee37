package cause

// Cause is the kebab-case name of why a job suffered or of what happened to the system; empty means none.
// It is a string, so that a name in a record from a newer version is kept even if this version doesn't define it.
type Cause string

// Causes that come from the amount or the shape of the work.
const (
	// FloodMostUrgent means that far more of the most urgent work arrived than the targets can run.
	FloodMostUrgent Cause = "flood-most-urgent"
	// FloodLeastUrgent means that far more of the least urgent work arrived than the targets can run.
	FloodLeastUrgent Cause = "flood-least-urgent"
	// Flood means that far more work of one team and kind arrived than the targets can run.
	Flood Cause = "flood"
	// Overload means that the work waiting already filled the time until the deadline.
	Overload Cause = "overload"
	// OverQuota means that the team asked for more than its quota.
	OverQuota Cause = "over-quota"
	// DeadlineTooShort means that the deadline was shorter than the work's run time on an idle target.
	DeadlineTooShort Cause = "deadline-too-short"
	// DeadlinePassed means that the deadline came before the work was done.
	DeadlinePassed Cause = "deadline-passed"
	// NeverFits means that no known target is large enough, even when idle.
	NeverFits Cause = "never-fits"
	// DeclaredTooSmall means that the work needed more resources or time than it had declared.
	DeclaredTooSmall Cause = "declared-too-small"
	// Straggler means that one slow task held up the whole job.
	Straggler Cause = "straggler"
	// TaskFailed means that the work itself failed on a healthy target.
	TaskFailed Cause = "task-failed"
	// KindFails means that work of one kind fails on every target.
	KindFails Cause = "kind-fails"
	// RetriesSpent means that the retry budget was used up.
	RetriesSpent Cause = "retries-spent"
)

// Causes that come from targets and their hosts.
const (
	// NoTargets means that no known target was able to run the work.
	NoTargets Cause = "no-targets"
	// TargetLost means that a target or its host died or stopped answering.
	TargetLost Cause = "target-lost"
	// TargetFails means that every task started on a target failed.
	TargetFails Cause = "target-fails"
	// TargetSlow means that a target became far slower than it had been.
	TargetSlow Cause = "target-slow"
	// GuardStopped means that the guard stopped the work to protect its host.
	GuardStopped Cause = "guard-stopped"
	// LeaseLapsed means that a lease ended while its holder was paused.
	LeaseLapsed Cause = "lease-lapsed"
	// AnswerLost means that an answer was lost after the work may have run.
	AnswerLost Cause = "answer-lost"
)

// Causes that come from the entries, the network and the platform.
const (
	// EntryLost means that an entry died and another took over its shards.
	EntryLost Cause = "entry-lost"
	// EntryPaused means that an entry was paused for longer than its lease.
	EntryPaused Cause = "entry-paused"
	// EntryDraining means that the entry was shutting down and accepted no new work.
	EntryDraining Cause = "entry-draining"
	// LogDown means that the platform's log didn't answer.
	LogDown Cause = "log-down"
	// LogSlow means that the platform's log answered far later than usual.
	LogSlow Cause = "log-slow"
	// RegionCut means that a region or data centre couldn't be reached.
	RegionCut Cause = "region-cut"
	// ConfigConflict means that operators published conflicting changes and one was rejected.
	ConfigConflict Cause = "config-conflict"
	// NoConfig means that the entry had no configuration yet.
	NoConfig Cause = "no-config"
	// Internal means a fault in the system itself.
	Internal Cause = "internal"
)

// Causes due to the caller; a day with only these went well, except for CancelWave, which counts as harm.
const (
	// Cancelled means that the caller cancelled the job.
	Cancelled Cause = "cancelled"
	// CancelWave means that callers cancelled many jobs at once.
	CancelWave Cause = "cancel-wave"
	// BadRequest means that the request violated the rules of the API.
	BadRequest Cause = "bad-request"
	// Unauthorised means that the request lacked a valid token.
	Unauthorised Cause = "unauthorised"
	// IDConflict means that an id was submitted again with different content.
	IDConflict Cause = "id-conflict"
	// Expired means that a job arrived after its deadline, or again after its record had been dropped.
	Expired Cause = "expired"
)

// Events that also happen on a good day and appear only in the timeline.
const (
	// TargetJoined means that a target registered.
	TargetJoined Cause = "target-joined"
	// Drained means that operators took a target or host out of service.
	Drained Cause = "drained"
	// ConfigApplied means that a configuration version took effect.
	ConfigApplied Cause = "config-applied"
	// EntryStarted means that an entry started to serve.
	EntryStarted Cause = "entry-started"
)

// Other replaces causes beyond the number of distinct ones that a record can hold.
const Other Cause = "other"

// class returns how c affects the verdict of a day; a cause that isn't in the table is harm.
func (c Cause) class() class {
	e, ok := entries[c]
	if !ok {
		return harm
	}
	return e.class
}

// Harmful reports whether work that ended with c suffered; an unknown cause counts as harmful.
func (c Cause) Harmful() bool { return c != "" && c.class() == harm }

// CallerCaused reports whether c is the caller's own choice or mistake.
func (c Cause) CallerCaused() bool { return c.class() == callerCaused }

// Known reports whether this version has a sentence for c.
func (c Cause) Known() bool {
	_, ok := entries[c]
	return ok
}

// All returns every cause that this version defines, in the order of the reference.
func All() []Cause {
	all := make([]Cause, 0, len(table))
	for _, e := range table {
		all = append(all, e.cause)
	}
	return all
}
