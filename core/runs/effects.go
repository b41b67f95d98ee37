package runs

import "time"

// effects carries out what the table decides; calls at the target are answered by StartAnswered, StopAnswered and Listed.
type effects interface {
	// Start calls for the start of a run under the lease that ends at a time of the agent's clock.
	Start(k Key, o *Order, until time.Time)
	// Stop calls for the end of a run, now or of its late start.
	Stop(k Key)
	// Ended tells an owner the end of an attempt.
	Ended(owner string, attempt uint64, how string, ranMS uint32)
	// Closed tells the end of a run, for the log.
	Closed(k Key, owner string, attempt uint64, how string, ranMS uint32)
	// Forecast tells an owner how much longer an attempt takes that takes unusually long.
	Forecast(owner string, attempt uint64, left time.Duration)
	// Changed tells that State gives something else than before.
	Changed()
}

// Key names a run at the target.
type Key struct {
	Task   string
	Number int
}

// Order is what an owner orders to be started; it is plain data.
type Order struct {
	Attempt    uint64
	Task       string
	Number     int
	Millicores uint64
	MemoryMB   uint64
	Expected   time.Duration // at a target of pace 1
	Payload    []byte
}

// Instance is what the target says of itself; it is plain data.
type Instance struct {
	ID         string // of the instance
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

// same reports whether two announcements are of the same life.
func (l *Instance) same(m *Instance) bool {
	return l.ID == m.ID && l.Born == m.Born && l.Addr == m.Addr
}

// Listing is the target's answer to a look at it; it is plain data.
type Listing struct {
	Born     int64
	Sent     time.Time // when the look was sent
	Running  []Progress
	Finished []Finish
}

// Progress is a run at work.
type Progress struct {
	Key
	Percent int
}

// Finish is the end of a run as the target lists it until it is acknowledged.
type Finish struct {
	Key
	Index int64
	How   string // done, failed, stopped, lapsed or others
}
