package outbox

import (
	"io"
	"sync"

	"google.golang.org/protobuf/proto"

	"persimmonstage/io/frame"
)

// maxPendingBytes is how much may be queued for a stream before its connection counts as stuck.
const maxPendingBytes = 256 << 20

// Outbox buffers framed messages for a stream; messages that are queued together are written in one call.
type Outbox struct {
	mu      sync.Mutex
	pending []byte
	closed  bool
	wake    chan struct{}
}

// New returns an empty outbox.
func New() *Outbox {
	return &Outbox{wake: make(chan struct{}, 1)}
}

// Put queues m; it returns false, without sending m, if the outbox is closed, its stream is stuck or m can't be framed.
func (o *Outbox) Put(m proto.Message) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed || len(o.pending) > maxPendingBytes {
		return false
	}
	buf, err := frame.Append(o.pending, m)
	if err != nil {
		return false
	}
	o.pending = buf
	o.signal()
	return true
}

// Pending returns the number of queued bytes.
func (o *Outbox) Pending() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.pending)
}

func (o *Outbox) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// Close makes Run return once it has written what was queued before.
func (o *Outbox) Close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	o.signal()
}

// Run writes queued messages to w until Close or a failed write, whose error it returns.
func (o *Outbox) Run(w io.Writer) error {
	var spare []byte
	for range o.wake {
		o.mu.Lock()
		buf := o.pending
		o.pending = spare[:0]
		closed := o.closed
		o.mu.Unlock()
		if len(buf) > 0 {
			if _, err := w.Write(buf); err != nil {
				o.Close()
				return err
			}
		}
		if closed {
			return nil
		}
		spare = buf
	}
	return nil
}
