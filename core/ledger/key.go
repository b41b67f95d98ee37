package ledger

// Key identifies a task of a submission.
type Key struct {
	Team  string
	ID    string
	Index uint32 // the task's position in its job, from 0
}

// Digest is a hash of a submission's whole content.
type Digest [16]byte

// State is the recorded state of a task; a task without a record has none.
type State uint8

// The states.
const (
	Started  State = iota + 1 // sent to the target, no result yet
	Finished                  // the result is kept
	Dropped                   // finished, but the result was dropped to stay within the size limit
	Refused                   // never started here, and never will be
)

// Task is the record of one task.
type Task struct {
	Index  uint32
	State  State
	Failed bool   // the target answered with an error
	Result []byte // nil unless Finished; read-only
}

// Job is the record of the tasks of one submission that this agent has started or refused.
type Job struct {
	Team   string
	ID     string
	Digest Digest
	Tasks  []Task // in the order of their starts
}
