package feed

import (
	"time"

	"persimmonstage/io/wire"
)

// poster queues steps for the control state.
type poster interface {
	Post(step func(now time.Time)) bool
}

// Feed posts the events of a control engine to a loop and calls a function for each there.
type Feed struct {
	loop   poster
	opened func(conn uint64)
	framed func(conn uint64, f *wire.Frame)
	closed func(conn uint64)
}

// New returns a feed to the loop whose functions are called on it.
func New(loop poster, opened func(conn uint64), framed func(conn uint64, f *wire.Frame), closed func(conn uint64)) *Feed {
	return &Feed{loop: loop, opened: opened, framed: framed, closed: closed}
}

// Opened tells of a new connection.
func (f *Feed) Opened(conn uint64) {
	f.loop.Post(func(time.Time) { f.opened(conn) })
}

// Framed tells of a frame.
func (f *Feed) Framed(conn uint64, m *wire.Frame) {
	f.loop.Post(func(time.Time) { f.framed(conn, m) })
}

// Closed tells of the end of a connection.
func (f *Feed) Closed(conn uint64, _ error) {
	f.loop.Post(func(time.Time) { f.closed(conn) })
}
