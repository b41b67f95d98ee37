package runs

import (
	"slices"
	"time"

	"persimmonstage/core/crash"
)

// effects executes the decisions of the table; answers of the target are passed to StartAnswered, StopAnswered and Listed.
type effects interface {
	// Start asks the target to start a run; the lease ends at until, a time of the agent's clock.
	Start(k Key, o *Order, until time.Time)
	// Stop asks the target to stop a run, and to refuse its start if that arrives later.
	Stop(k Key)
	// Fence makes the target ignore all earlier calls from the next call on that it answers.
	Fence()
	// Ended reports the end of an attempt to its owner.
	Ended(owner string, attempt uint64, how string, ranMS uint32)
	// Closed logs the end of a run.
	Closed(k Key, owner string, attempt uint64, how string, ranMS uint32)
	// Crashed reports what ran when the target's process crashed; it is called before the runs are ended.
	Crashed(c *crash.Report)
	// Forecast reports to an owner the remaining run time of an attempt that takes unusually long.
	Forecast(owner string, attempt uint64, left time.Duration)
	// Changed is called when the result of State has changed.
	Changed()
}

// Key identifies a run at the target.
type Key struct {
	Task   string
	Number int
}

// Order is an owner's request to start a task; it is plain data.
type Order struct {
	Attempt    uint64
	Task       string
	Route      string
	Number     int
	Millicores uint64
	MemoryMB   uint64
	Expected   time.Duration // run time at a target of pace 1
	Payload    []byte
	Process    uint64    // the target's process that the owner chose, as in State; 0 is any
	StopBy     time.Time // when the run is stopped although its owner hasn't said so; zero if never
	Cancelled  bool      // the agent has been told that the job was cancelled
}

// Instance is a target's announcement of itself; it is plain data.
type Instance struct {
	ID         string
	Addr       string
	Born       int64
	Service    string
	DataCentre string
	Millicores uint64
	MemoryMB   uint64
	Labels     []string
	Draining   bool
	Sequence   int64
}

// Same reports whether two announcements come from the same process of the target.
func (l *Instance) Same(m *Instance) bool {
	return l.ID == m.ID && l.Born == m.Born && l.Addr == m.Addr
}

// sameKind reports whether two announcements agree in what doesn't change while a process runs.
func (l *Instance) sameKind(m *Instance) bool {
	return l.Service == m.Service && l.DataCentre == m.DataCentre && slices.Equal(l.Labels, m.Labels)
}

// SameCapacity reports whether two announcements state the same capacity, which may change while a target runs.
func (l *Instance) SameCapacity(m *Instance) bool {
	return l.Millicores == m.Millicores && l.MemoryMB == m.MemoryMB
}

// Listing is the target's answer to a poll; it is plain data.
type Listing struct {
	Born     int64     // of the process that answered, in Unix milliseconds; 0 if it isn't listed
	Sent     time.Time // when the poll was sent
	Clock    int64     // the target's monotonic clock when it answered, in ms
	Partial  bool      // rows are missing, so a run that isn't listed may still be running
	Running  []Progress
	Finished []Finish
}

// Progress is the progress of a run that hasn't ended.
type Progress struct {
	Key
	Percent int
}

// Finish is the end of a run, which the target lists until it is acknowledged.
type Finish struct {
	Key
	Index int64
	How   string // done, failed, stopped, lapsed or others
}
