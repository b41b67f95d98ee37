package runsd

import (
	"time"

	"persimmonstage/io/wire"
)

// frames posts what happens on the connections to the loop.
type frames struct{ d *Daemon }

// Opened is no news: the connection counts once its dial has returned.
func (f frames) Opened(uint64) {}

// Framed takes a frame.
func (f frames) Framed(conn uint64, m *wire.Frame) {
	f.d.loop.Post(func(time.Time) { f.d.framed(conn, m) })
}

// Closed notes the end of a connection.
func (f frames) Closed(conn uint64, _ error) {
	f.d.loop.Post(func(time.Time) { f.d.closed(conn) })
}
