package admit

import (
	"fmt"
	"time"
)

// Reasons of a RefusedError.
const (
	Expired         = "expired"           // the deadline has passed
	TooLarge        = "too-large"         // more tasks or bytes than the gate's limits
	DeadlineTooNear = "deadline-too-near" // the expected wait exceeds the time to the deadline
	OverQuota       = "over-quota"        // the team's quota of starts per second delays it past its deadline
	EntryFull       = "entry-full"        // the entry's whole capacity is in use
	TooManyKinds    = "too-many-kinds"    // the team has too many busy kinds
	ShareFull       = "share-full"        // the capacity of its team and kind is in use
)

// RefusedError reports why a job was not admitted; none of its tasks ran.
type RefusedError struct {
	Reason string // one of the constants above
	Team   string
	Kind   string
	Wait   time.Duration // expected wait until the job's last task starts, for DeadlineTooNear and OverQuota
	Unit   string        // "tasks", "bytes" or "kinds", when a limit is the reason
	Limit  int64         // the whole limit in units
	Retry  time.Time     // when to try again; zero means never
}

// Error returns the reason with the share and the wait or limit.
func (e *RefusedError) Error() string {
	switch e.Reason {
	case DeadlineTooNear, OverQuota:
		return fmt.Sprintf("%s: team %q kind %q would wait %s", e.Reason, e.Team, e.Kind, e.Wait)
	case EntryFull, ShareFull, TooLarge, TooManyKinds:
		return fmt.Sprintf("%s: team %q kind %q at the bound of %d %s", e.Reason, e.Team, e.Kind, e.Limit, e.Unit)
	}
	return fmt.Sprintf("%s: team %q kind %q", e.Reason, e.Team, e.Kind)
}
