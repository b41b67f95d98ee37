package cause

import "strings"

// The statuses of the public API that say by themselves whose fault a refusal is.
const (
	statusMalformed    = 400
	statusUnauthorised = 401
	statusForbidden    = 403
	statusConflict     = 409
	statusTooLarge     = 413
)

// reasons maps what a part of the system calls its refusal or failure to the cause that the owner is told.
// Parts name what they saw; several of these come to the same for an owner.
var reasons = map[string]Cause{
	"deadline":          DeadlinePassed,
	"deadline-too-near": Overload,
	"no-room":           Overload,
	"entry-full":        Overload,
	"share-full":        Overload,
	"queue-full":        Overload,
	"too-many-shares":   Overload,
	"grant-timeout":     Overload,
	"too-large":         NeverFits,
	"memory-short":      GuardStopped,
	"cores-short":       GuardStopped,
	"not-connected":     TargetLost,
	"output-dropped":    AnswerLost,
	"owner-changed":     EntryLost,
	"owner-lost":        EntryLost,
	"old-epoch":         EntryLost,
	"newer-epoch":       EntryLost,
	"not-owner":         EntryLost,
	"no-majority":       RegionCut,
	"no-map":            NoConfig,
	"unknown-shard":     NoConfig,
}

// FromReason returns the cause behind the reason that a part of the system gave; a reason without an entry is a cause itself.
func FromReason(reason string) Cause {
	if c, ok := reasons[reason]; ok {
		return c
	}
	return Cause(reason)
}

// FromFailure returns the cause behind the reason of a task that started and failed: what stopped it, or its deadline, if the
// reason begins with that, else the work itself.
func FromFailure(reason string) Cause {
	name, _, _ := strings.Cut(reason, ":")
	switch c := Cause(name); c {
	case GuardStopped, LeaseLapsed, DeadlinePassed:
		return c
	default:
		return TaskFailed
	}
}

// FromStatus returns the cause that the status of an answer tells when the answer names none; empty when it tells none.
func FromStatus(status int) Cause {
	switch status {
	case statusMalformed, statusTooLarge:
		return BadRequest
	case statusUnauthorised, statusForbidden:
		return Unauthorised
	case statusConflict:
		return IDConflict
	default:
		return ""
	}
}
