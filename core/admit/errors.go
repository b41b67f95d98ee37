package admit

import (
	"fmt"
	"time"
)

// Reasons of a RefusedError.
const (
	Expired         = "expired"           // the deadline is past
	TooLarge        = "too-large"         // more tasks or bytes than the gate could ever hold
	DeadlineTooNear = "deadline-too-near" // the expected wait passes the deadline
	OverQuota       = "over-quota"        // the team's starts a second don't allow it in time
	EntryFull       = "entry-full"        // the whole room is taken
	TooManyKinds    = "too-many-kinds"    // the team has too many busy kinds
	ShareFull       = "share-full"        // the team's and kind's part of the room is taken
)

// RefusedError is the refusal of a job that was not taken and of which nothing ran.
type RefusedError struct {
	Reason string // one of the constants above
	Team   string
	Kind   string
	Wait   time.Duration // expected wait until the job's last task starts, when that is the reason
	Unit   string        // "tasks", "bytes" or "kinds", when a bound is the reason
	Limit  int64         // units of the whole bound
	Retry  time.Time     // when another try makes sense; zero means never
}

// Error says why the job was refused.
func (e *RefusedError) Error() string {
	switch e.Reason {
	case DeadlineTooNear, OverQuota:
		return fmt.Sprintf("%s: team %q kind %q would wait %s", e.Reason, e.Team, e.Kind, e.Wait)
	case EntryFull, ShareFull, TooLarge, TooManyKinds:
		return fmt.Sprintf("%s: team %q kind %q at the bound of %d %s", e.Reason, e.Team, e.Kind, e.Limit, e.Unit)
	}
	return fmt.Sprintf("%s: team %q kind %q", e.Reason, e.Team, e.Kind)
}
