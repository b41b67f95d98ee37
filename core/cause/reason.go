package cause

import "strings"

// The statuses of the public API that determine the cause of a refusal without a reason.
const (
	statusMalformed    = 400
	statusUnauthorised = 401
	statusForbidden    = 403
	statusConflict     = 409
	statusTooLarge     = 413
)

// reasons maps the reason that a component gives for a refusal or failure to the cause shown to the owner.
// Components report what they observed; several reasons have the same cause.
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

// FromReason returns the cause of the reason that a component gave; a reason that isn't in the map is a cause itself.
func FromReason(reason string) Cause {
	if c, ok := reasons[reason]; ok {
		return c
	}
	return Cause(reason)
}

// FromFailure returns the cause for the reason of a task that started and failed: GuardStopped, LeaseLapsed or DeadlinePassed
// if the reason begins with it, else TaskFailed.
func FromFailure(reason string) Cause {
	name, _, _ := strings.Cut(reason, ":")
	switch c := Cause(name); c {
	case GuardStopped, LeaseLapsed, DeadlinePassed:
		return c
	default:
		return TaskFailed
	}
}

// FromStatus returns the cause implied by the status of an answer that names none; empty if the status implies none.
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
