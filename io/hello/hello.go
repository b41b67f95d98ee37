package hello

import (
	"io"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"persimmonstage/core/intake"
	"persimmonstage/io/addr"
	"persimmonstage/io/uptime"
)

// logInterval is the least time between two log lines.
const logInterval = time.Second

// Bound keeps account of the connections to one port until their first message has been read, and closes some that together exceed the
// limits; create it with New. A nil Bound admits everything.
type Bound struct {
	port   string
	log    *zap.Logger
	mu     sync.Mutex
	intake *intake.Intake
	conns  map[uint64]io.Closer
	closed int // since the last log line
	logged time.Time
}

// New returns a bound of a port with a name for logs.
func New(port string, l intake.Limits, log *zap.Logger) *Bound {
	return &Bound{port: port, log: log, intake: intake.New(l), conns: make(map[uint64]io.Closer)}
}

// Open records a connection and returns its number, or false if there are too many and it has to be closed.
func (b *Bound) Open(c io.Closer, from net.Addr) (id uint64, ok bool) {
	if b == nil {
		return 0, true
	}
	host := addr.Host(from)
	b.mu.Lock()
	id, victim, ok := b.intake.Open(uptime.Now(), host)
	closing := b.conns[victim]
	delete(b.conns, victim)
	if ok {
		b.conns[id] = c
	}
	b.mu.Unlock()
	if closing != nil {
		_ = closing.Close()
	}
	if closing != nil || !ok {
		b.report()
	}
	return id, ok
}

// Hold records how many bytes a connection's unfinished message holds, and returns false if the connection has to be closed.
func (b *Bound) Hold(id uint64, bytes int64) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	victims, wait := b.intake.Hold(uptime.Now(), id, bytes)
	var closing []io.Closer
	_, held := b.conns[id]
	for _, v := range victims {
		if v == id {
			held = false
		} else if c := b.conns[v]; c != nil {
			closing = append(closing, c)
		}
	}
	b.mu.Unlock()
	for _, c := range closing {
		_ = c.Close()
	}
	if len(victims) > 0 || wait {
		b.report()
	}
	return held && !wait
}

// Done records that the first message of a connection has been read, or that the connection has ended.
func (b *Bound) Done(id uint64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.intake.Close(id)
	delete(b.conns, id)
}

// report counts closed connections and writes a log line a second at most.
func (b *Bound) report() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed++
	now := uptime.Now()
	if now.Sub(b.logged) < logInterval {
		return
	}
	b.logged = now
	b.log.Warn("unidentified connections over the limits closed", zap.String("port", b.port), zap.Int("closed", b.closed),
		zap.Int("open", b.intake.Conns()), zap.Int64("bytes", b.intake.Bytes()))
	b.closed = 0
}
