package queue

import "fmt"

// Reasons of a FullError.
const (
	QueueFull     = "queue-full"
	ShareFull     = "share-full"
	DuplicateKey  = "duplicate-key"
	TooManyShares = "too-many-shares"
)

// FullError reports why a push was refused; the item was not added.
type FullError struct {
	Reason string // one of the constants above
	Team   string
	Kind   string
	Key    string
	Unit   string // "items", "bytes", "kinds" or "shares"
	Held   int64  // units already held by the share, its team or the queue, whichever is full
	Limit  int64  // units that the whole queue may hold
}

// Error returns the reason with the share and what is full.
func (e *FullError) Error() string {
	if e.Reason == DuplicateKey {
		return fmt.Sprintf("%s: key %q is already waiting", e.Reason, e.Key)
	}
	return fmt.Sprintf("%s: team %q kind %q holds %d of %d %s", e.Reason, e.Team, e.Kind, e.Held, e.Limit, e.Unit)
}
