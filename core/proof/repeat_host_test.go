package proof

import (
	"time"

	"persimmonstage/core/times"
)

// repeatHost is the host of a process; while it is frozen, what arrives for the process is held.
type repeatHost struct {
	w           *repeatWorld
	frozenUntil time.Time
	arrived     []func() // not read yet
	reading     bool
}

func (h *repeatHost) frozen() bool { return h.w.now.Before(h.frozenUntil) }

func (h *repeatHost) freeze(until time.Time) { h.frozenUntil = times.Later(h.frozenUntil, until) }

func (h *repeatHost) thaw() { h.frozenUntil = time.Time{} }

func (h *repeatHost) deliver(do func()) {
	h.arrived = append(h.arrived, do)
	if !h.reading {
		h.reading = true
		h.read()
	}
}

// read processes what has arrived, in order. After a freeze connections are read one after the other, so that a timer of the process
// may come first, and a request is processed before the end of its connection is noticed.
func (h *repeatHost) read() {
	if h.frozen() {
		h.w.after(h.frozenUntil.Sub(h.w.now), h.read)
		return
	}
	do := h.arrived[0]
	h.arrived = h.arrived[1:]
	do()
	if h.reading = len(h.arrived) > 0; h.reading {
		h.w.after(time.Duration(h.w.rng.Int64N(int64(maxReadDelay))), h.read)
	}
}

// maxReadDelay bounds the time between two readings of connections that have something to read.
const maxReadDelay = 2 * time.Millisecond
