package proof

import (
	"slices"
	"time"

	"persimmonstage/core/times"
)

// repeatHost is the host of a process; while it is frozen, what arrives for the process is held.
type repeatHost struct {
	w           *repeatWorld
	frozenUntil time.Time
	arrived     []arrival // not read yet
	reading     bool
	slowUntil   time.Time // until when it reads slowly, as on a host without processor time to spare
}

func (h *repeatHost) frozen() bool { return h.w.now.Before(h.frozenUntil) }

func (h *repeatHost) freeze(until time.Time) { h.frozenUntil = times.Later(h.frozenUntil, until) }

func (h *repeatHost) thaw() { h.frozenUntil = time.Time{} }

// arrival is a message that has arrived over a connection; those of one connection are read in order.
type arrival struct {
	conn any // nil if the connection has no other messages
	do   func()
}

func (h *repeatHost) deliver(conn any, do func()) {
	h.arrived = append(h.arrived, arrival{conn, do})
	if !h.reading {
		h.reading = true
		if h.slow() {
			h.w.after(h.readDelay(), h.read)
			return
		}
		h.read()
	}
}

func (h *repeatHost) slow() bool { return h.w.now.Before(h.slowUntil) }

// readDelay returns the time until the next reading of a connection that has something to read.
func (h *repeatHost) readDelay() time.Duration {
	if h.slow() {
		return time.Duration(h.w.rng.Int64N(int64(maxSlowDelay)))
	}
	return time.Duration(h.w.rng.Int64N(int64(maxReadDelay)))
}

// read processes what has arrived. After a freeze connections are read one after the other, in no order, so that a timer of the process
// may come first, and a request is processed some time before the end of its connection is noticed.
func (h *repeatHost) read() {
	if h.frozen() {
		h.w.after(h.frozenUntil.Sub(h.w.now), h.read)
		return
	}
	i := 0
	if len(h.arrived) > 1 {
		i = h.w.rng.IntN(len(h.arrived))
	}
	if conn := h.arrived[i].conn; conn != nil {
		i = slices.IndexFunc(h.arrived, func(m arrival) bool { return m.conn == conn })
	}
	do := h.arrived[i].do
	h.arrived = slices.Delete(h.arrived, i, i+1)
	do()
	if h.reading = len(h.arrived) > 0; h.reading {
		h.w.after(h.readDelay(), h.read)
	}
}

// maxReadDelay bounds the time between two readings of connections that have something to read; maxSlowDelay is the same for a slow host,
// also for the first one.
const (
	maxReadDelay = 2 * time.Millisecond
	maxSlowDelay = 30 * time.Millisecond
)
