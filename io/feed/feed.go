package feed

import (
	"time"

	"persimmonstage/io/wire"
)

// poster queues functions for the goroutine of the control state.
type poster interface {
	Post(step func(now time.Time)) bool
}

// Feed posts the events of a control engine to a loop, where it calls a function for each.
type Feed struct {
	loop   poster
	opened func(conn uint64)
	framed func(conn uint64, f *wire.Frame)
	closed func(conn uint64)
}

// New returns a feed that calls the functions on the loop.
func New(loop poster, opened func(conn uint64), framed func(conn uint64, f *wire.Frame), closed func(conn uint64)) *Feed {
	return &Feed{loop: loop, opened: opened, framed: framed, closed: closed}
}

// Opened handles a new connection.
func (f *Feed) Opened(conn uint64) {
	f.loop.Post(func(time.Time) { f.opened(conn) })
}

// Received handles a received frame.
func (f *Feed) Received(conn uint64, m *wire.Frame) {
	f.loop.Post(func(time.Time) { f.framed(conn, m) })
}

// Closed handles the end of a connection.
func (f *Feed) Closed(conn uint64, _ error) {
	f.loop.Post(func(time.Time) { f.closed(conn) })
}
