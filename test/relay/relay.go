package relay

import (
	"net"
	"sync"
)

// Direction is a direction of a relayed connection.
type Direction uint8

// The directions.
const (
	In  Direction = iota // from who dials to the target
	Out                  // from the target to who dialled
)

// Mode says what a relay does with the bytes of one direction.
type Mode uint8

// The modes.
const (
	Pass Mode = iota
	Hold      // bytes and closes of connections wait until the direction passes again
	Drop      // bytes are lost; a connection that lost any is closed when the direction passes again, as TCP can't have a gap
)

const bufferBytes = 32 << 10

// Relay forwards connections from one address to another.
//
// The mode of a direction is set per dialling process, which identify finds from the accepted connection. A new connection is
// accepted even while a direction is cut, so that bytes of the other direction still arrive: processes cope worse with that
// than with a connection that fails.
type Relay struct {
	listener net.Listener
	target   string
	identify func(accepted net.Conn) string
	mu       sync.Mutex
	changed  *sync.Cond
	closed   bool
	modes    map[cut]Mode
	passed   map[cut]int // bytes
	links    map[*link]bool
}

type cut struct {
	name string
	way  Direction
}

// link is a pair of connections; lossy and over are guarded by the relay's lock.
type link struct {
	name  string
	ends  [2]net.Conn // the dialling process, the target
	lossy [2]bool
	over  bool
}

// New listens on addr and forwards connections to target; identify returns the name of the process that dialled.
func New(addr, target string, identify func(accepted net.Conn) string) (*Relay, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, target: target, identify: identify, modes: make(map[cut]Mode), passed: make(map[cut]int), links: make(map[*link]bool)}
	r.changed = sync.NewCond(&r.mu)
	go r.accept()
	return r, nil
}

// SetMode switches a direction of the present and later connections that a process dials.
func (r *Relay) SetMode(name string, way Direction, mode Mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.modes[cut{name, way}] = mode
	if mode == Pass {
		for l := range r.links {
			if l.name == name && l.lossy[way] {
				l.end()
			}
		}
	}
	r.changed.Broadcast()
}

// Passed returns the number of bytes of a direction that were forwarded for a process.
func (r *Relay) Passed(name string, way Direction) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.passed[cut{name, way}]
}

// Close ends the listener and every connection.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for l := range r.links {
		l.end()
	}
	r.changed.Broadcast()
}

func (r *Relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.pass(c)
	}
}

func (r *Relay) pass(dialled net.Conn) {
	target, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = dialled.Close()
		return
	}
	l := &link{name: r.identify(dialled), ends: [2]net.Conn{dialled, target}}
	r.mu.Lock()
	r.links[l] = true
	if r.closed {
		l.end()
	}
	r.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { r.pump(l, In) })
	both.Go(func() { r.pump(l, Out) })
	both.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, l)
}

// pump copies the bytes of one direction; the close of a direction is delayed like its bytes.
func (r *Relay) pump(l *link, way Direction) {
	from, to := l.ends[way], l.ends[1-way]
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		if !r.waitToForward(l, way, err != nil) {
			continue
		}
		if err == nil {
			if _, err = to.Write(buf[:n]); err == nil {
				r.count(l, way, n)
				continue
			}
			r.waitToForward(l, 1-way, true) // a close by the receiver travels in the other direction
		}
		r.mu.Lock()
		l.end()
		r.mu.Unlock()
		return
	}
}

func (r *Relay) count(l *link, way Direction, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.passed[cut{l.name, way}] += n
}

// waitToForward waits while the direction is held, and reports whether the bytes read are forwarded rather than dropped.
func (r *Relay) waitToForward(l *link, way Direction, ended bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for !l.over {
		mode := r.modes[cut{l.name, way}]
		if mode == Pass {
			return true
		}
		if mode == Drop {
			l.lossy[way] = true
			if !ended {
				return false
			}
		}
		r.changed.Wait()
	}
	return true
}

// end closes both connections; the relay's lock must be held.
func (l *link) end() {
	l.over = true
	_ = l.ends[0].Close()
	_ = l.ends[1].Close()
}
