package runsd

import (
	"time"

	"persimmonstage/io/wire"
)

// frames posts what happens on the connections to the loop.
type frames struct{ d *Daemon }

// Opened says hello on a connection whose dial has returned already.
func (f frames) Opened(conn uint64) {
	f.d.loop.Post(func(time.Time) { f.d.opened(conn) })
}

// Framed takes a frame.
func (f frames) Framed(conn uint64, m *wire.Frame) {
	f.d.loop.Post(func(time.Time) { f.d.framed(conn, m) })
}

// Closed notes the end of a connection.
func (f frames) Closed(conn uint64, _ error) {
	f.d.loop.Post(func(time.Time) { f.d.closed(conn) })
}
