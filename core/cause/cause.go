package cause

// Cause is the kebab-case name of what made a job suffer, or of what happened to the system; empty means nothing did.
// It is a string so that a record written by a newer version keeps a name that this version doesn't know.
type Cause string

// Causes that come from the amount or the shape of the work.
const (
	// FloodMostUrgent means that far more of the most urgent work came than the targets can take.
	FloodMostUrgent Cause = "flood-most-urgent"
	// FloodLeastUrgent means that far more of the least urgent work came than the targets can take.
	FloodLeastUrgent Cause = "flood-least-urgent"
	// Flood means that far more work of one team and kind came than the targets can take.
	Flood Cause = "flood"
	// Overload means that the work waiting already filled the time until the deadline.
	Overload Cause = "overload"
	// OverQuota means that the team asked for more than its quota.
	OverQuota Cause = "over-quota"
	// DeadlineTooShort means that the deadline was shorter than the work can take on an idle target.
	DeadlineTooShort Cause = "deadline-too-short"
	// DeadlinePassed means that the deadline came before the work was done.
	DeadlinePassed Cause = "deadline-passed"
	// NeverFits means that no known target is large enough, even when idle.
	NeverFits Cause = "never-fits"
	// DeclaredTooSmall means that the work needed more room or time than it had declared.
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
	// NoTargets means that no target able to run the work was known.
	NoTargets Cause = "no-targets"
	// TargetLost means that a target or its host died or stopped answering.
	TargetLost Cause = "target-lost"
	// TargetFails means that a target failed everything that it started.
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
	// EntryPaused means that an entry stood still for longer than its lease.
	EntryPaused Cause = "entry-paused"
	// EntryDraining means that the entry was about to leave and took no new work.
	EntryDraining Cause = "entry-draining"
	// LogDown means that the platform's log gave no answer.
	LogDown Cause = "log-down"
	// LogSlow means that the platform's log answered far later than usual.
	LogSlow Cause = "log-slow"
	// RegionCut means that a region or data centre couldn't be reached.
	RegionCut Cause = "region-cut"
	// ConfigConflict means that operators published conflicting changes and one was turned down.
	ConfigConflict Cause = "config-conflict"
	// NoConfig means that the entry knew no configuration yet.
	NoConfig Cause = "no-config"
	// Internal means a fault of the system itself.
	Internal Cause = "internal"
)

// Causes that the caller chose or caused; a day that has only these went well, but for a wave of cancellations.
const (
	// Cancelled means that the caller cancelled the job.
	Cancelled Cause = "cancelled"
	// CancelWave means that callers cancelled many jobs at once.
	CancelWave Cause = "cancel-wave"
	// BadRequest means that the request broke the rules of the API.
	BadRequest Cause = "bad-request"
	// Unauthorised means that the request lacked a valid token.
	Unauthorised Cause = "unauthorised"
	// IDConflict means that an id came again with other content.
	IDConflict Cause = "id-conflict"
	// Expired means that a job came after its deadline, or again after its record had been dropped.
	Expired Cause = "expired"
)

// Things that happen on a good day and stand in the timeline only.
const (
	// TargetJoined means that a target announced itself.
	TargetJoined Cause = "target-joined"
	// Drained means that operators took a target or host out of service.
	Drained Cause = "drained"
	// ConfigApplied means that a configuration version came into force.
	ConfigApplied Cause = "config-applied"
	// EntryStarted means that an entry began to serve.
	EntryStarted Cause = "entry-started"
)

// Other stands for a cause beyond the number of distinct ones that a record holds.
const Other Cause = "other"

// class says how a cause bears on the question whether the day went well.
func (c Cause) class() class {
	e, ok := entries[c]
	if !ok {
		return harm
	}
	return e.class
}

// Harmful reports whether work that ended with c suffered; an unknown cause is taken as harmful.
func (c Cause) Harmful() bool { return c != "" && c.class() == harm }

// CallerCaused reports whether the caller chose or caused c itself.
func (c Cause) CallerCaused() bool { return c.class() == chosen }

// Known reports whether this version has a sentence for c.
func (c Cause) Known() bool {
	_, ok := entries[c]
	return ok
}

// All returns every cause that this version knows, in the order of the reference.
func All() []Cause {
	all := make([]Cause, 0, len(table))
	for _, e := range table {
		all = append(all, e.cause)
	}
	return all
}
