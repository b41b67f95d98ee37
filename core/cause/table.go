package cause

import "strings"

// class is how a cause affects the verdict of a day.
type class uint8

const (
	harm         class = iota // work suffered
	callerCaused              // the caller's own choice or mistake
	notice                    // shown in the timeline only
)

// entry is a row of the table: without and with are the sentences shown to an owner, without and with a subject, which
// replaces %s.
type entry struct {
	cause   Cause
	class   class
	without string
	with    string
}

// The sentences avoid technical terms, since their reader is the owner of a business and not an operator of the hosts.
var table = []entry{
	{FloodMostUrgent, harm, "A flood of the most urgent work was more than the targets can take.", "A flood of %s, the most urgent work, was more than the targets can take."},
	{FloodLeastUrgent, harm, "A flood of the least urgent work was more than the targets can take.", "A flood of %s, the least urgent work, was more than the targets can take."},
	{Flood, harm, "A flood of one kind of work was more than the targets can take.", "A flood of %s was more than the targets can take."},
	{Overload, harm, "More work was waiting than the targets could finish before the deadline.", "More work was waiting than the targets could finish before the deadline: %s."},
	{OverQuota, harm, "The team asked for more than its quota allows.", "The team asked for more than its quota allows: %s."},
	{DeadlineTooShort, harm, "The deadline was shorter than the work takes even on an idle target.", "The deadline was shorter than the work takes even on an idle target: %s."},
	{DeadlinePassed, harm, "The deadline came before the work was done.", "The deadline came before the work was done: %s."},
	{NeverFits, harm, "The work is too large for any target, even an idle one, so it can never run.", "The work is too large for any target, even an idle one, so it can never run: %s."},
	{DeclaredTooSmall, harm, "The work needed more room or time than it had declared.", "The work needed more room or time than it had declared: %s."},
	{Straggler, harm, "One slow task held up its whole job.", "One slow task held up its whole job: %s."},
	{TaskFailed, harm, "The work itself failed; the target that ran it was healthy.", "The work itself failed (%s); the target that ran it was healthy."},
	{KindFails, harm, "This kind of work failed on every target, so the fault lies in the work.", "Work of %s failed on every target, so the fault lies in the work."},
	{RetriesSpent, harm, "The work was turned away by targets until no more retries were allowed.", "The work was turned away by targets until no more retries were allowed: %s."},
	{NoTargets, harm, "No target able to run the work was in service.", "No target able to run the work was in service: %s."},
	{TargetLost, harm, "A target, or the host it ran on, died or stopped answering.", "The target %s, or the host it ran on, died or stopped answering."},
	{TargetFails, harm, "A target failed everything that it started, until it was taken out of service.", "The target %s failed everything that it started, until it was taken out of service."},
	{TargetSlow, harm, "A target became far slower than it had been.", "The target %s became far slower than it had been."},
	{GuardStopped, harm, "The work was stopped to protect the host it ran on, which was short of room.", "The work was stopped to protect the host %s, which was short of room."},
	{LeaseLapsed, harm, "A permission to run work ended while the process that held it stood still.", "The permission of %s to run work ended while it stood still."},
	{AnswerLost, harm, "The answer was lost on the way back: the work may have run, and was not run again.", "The answer of %s was lost on the way back: the work may have run, and was not run again."},
	{EntryLost, harm, "An entry died, and another took over its work.", "The entry %s died, and another took over its work."},
	{EntryPaused, harm, "An entry stood still for some seconds, and its work waited or was taken over.", "The entry %s stood still for some seconds, and its work waited or was taken over."},
	{EntryDraining, harm, "The entry was about to leave and took no new work.", "The entry %s was about to leave and took no new work."},
	{LogDown, harm, "The platform's log was down.", "The platform's log was down: %s."},
	{LogSlow, harm, "The platform's log was slow.", "The platform's log was slow: %s."},
	{RegionCut, harm, "A region or data centre could not be reached.", "%s could not be reached from the other data centres."},
	{ConfigConflict, harm, "Two operators changed the settings at once, and one change was turned down.", "Two operators changed the settings at once, and one change was turned down: %s."},
	{NoConfig, harm, "The entry had no settings yet and took no work.", "The entry %s had no settings yet and took no work."},
	{Internal, harm, "A fault in persimmonstage itself.", "A fault in persimmonstage itself: %s."},
	{Cancelled, callerCaused, "The caller cancelled the work.", "The caller cancelled the work: %s."},
	{CancelWave, harm, "Callers cancelled many jobs at once.", "Callers cancelled many jobs of %s at once."},
	{BadRequest, callerCaused, "The request broke the rules and was never taken in.", "The request broke the rules and was never taken in: %s."},
	{Unauthorised, callerCaused, "The request lacked a valid token and was never taken in.", "The request lacked a valid token and was never taken in: %s."},
	{IDConflict, callerCaused, "An order number came again with different content, and the second was turned away.", "An order number came again with different content, and the second was turned away: %s."},
	{Expired, callerCaused, "A job came so late that its deadline had passed or its record was gone, so it was not run.", "A job came so late that its deadline had passed or its record was gone, so it was not run: %s."},
	{TargetJoined, notice, "A target came into service.", "The target %s came into service."},
	{Drained, notice, "Operators took a target or host out of service.", "Operators took %s out of service."},
	{ConfigApplied, notice, "New settings came into force.", "Settings version %s came into force."},
	{EntryStarted, notice, "An entry began to serve.", "The entry %s began to serve."},
	{Other, harm, "Other causes, too many to list apart.", "Other causes, too many to list apart: %s."},
}

var entries = index(table)

func index(rows []entry) map[Cause]entry {
	m := make(map[Cause]entry, len(rows))
	for _, e := range rows {
		m[e.cause] = e
	}
	return m
}

// Sentence describes c to an owner in plain words; subject is what was affected and may be empty.
func (c Cause) Sentence(subject string) string {
	e, ok := entries[c]
	if !ok {
		e = entry{without: "A cause that this version does not know: " + string(c) + ".", with: "A cause that this version does not know (" + string(c) + "): %s."}
	}
	if subject == "" {
		return e.without
	}
	return strings.Replace(e.with, "%s", subject, 1)
}
