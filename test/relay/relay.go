package relay

import (
	"net"
	"sync"
)

// Direction is a direction of a connection.
type Direction uint8

// The directions.
const (
	In  Direction = iota // from who dials to the target
	Out                  // from the target to who dialled
)

// Mode is what becomes of the bytes of one direction.
type Mode uint8

// The modes.
const (
	Pass Mode = iota
	Hold      // bytes, and the ends of connections, wait until the direction passes again
	Drop      // bytes are lost; what lost any is closed when the direction passes again, as TCP can't leave a gap
)

const bufferBytes = 32 << 10

// Relay passes the connections to one address on to another.
//
// Each direction is switched for the process that has dialled, which names tells from the accepted connection. A new
// connection is accepted also while a direction is cut: what comes of the direction that passes still arrives, which is
// harder on the processes than a connection that can't be made.
type Relay struct {
	listener net.Listener
	target   string
	names    func(accepted net.Conn) string
	mu       sync.Mutex
	changed  *sync.Cond
	closed   bool
	modes    map[cut]Mode
	links    map[*link]bool
}

type cut struct {
	name string
	way  Direction
}

// link is a pair of connections; the fields below belong to the relay's lock.
type link struct {
	name  string
	ends  [2]net.Conn // who dials, the target
	lossy [2]bool
	over  bool
}

// New listens on addr and passes connections on to target; names gives the name of the process that dials.
func New(addr, target string, names func(accepted net.Conn) string) (*Relay, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, target: target, names: names, modes: make(map[cut]Mode), links: make(map[*link]bool)}
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
	l := &link{name: r.names(dialled), ends: [2]net.Conn{dialled, target}}
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

// pump moves the bytes of one direction; an end of it is passed on as late as its bytes would be.
func (r *Relay) pump(l *link, way Direction) {
	from, to := l.ends[way], l.ends[1-way]
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		if !r.ready(l, way, err != nil) {
			continue
		}
		if err == nil {
			if _, err = to.Write(buf[:n]); err == nil {
				continue
			}
			r.ready(l, 1-way, true) // the news that the receiver is gone comes the other way
		}
		r.mu.Lock()
		l.end()
		r.mu.Unlock()
		return
	}
}

// ready waits while the direction is held, and reports whether what was read goes on rather than being lost.
func (r *Relay) ready(l *link, way Direction, ended bool) bool {
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

// end closes both connections, with the relay's lock held.
func (l *link) end() {
	l.over = true
	_ = l.ends[0].Close()
	_ = l.ends[1].Close()
}
