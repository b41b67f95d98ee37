package guard

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"persimmonstage/core/intake"
	"persimmonstage/io/addr"
	"persimmonstage/io/uptime"
)

// reason is why a connection was closed or its request given up.
type reason string

const (
	tooManyConns  reason = "connections"
	tooManyServed reason = "served"
	tooManyBytes  reason = "bytes"
	tooManyLines  reason = "header-lines"
	tooLate       reason = "body-time"
	// tooMuchFraming stands for bodies in chunks so small that reading them takes too much processor time.
	tooMuchFraming reason = "framing"
)

const (
	// logInterval is the least time between two log lines.
	logInterval = time.Second
	// waitInterval and maxWaits bound the wait of a request for the bytes of others that were given up.
	waitInterval = 2 * time.Millisecond
	maxWaits     = 100
	// minBuffer is the least size of a connection's socket buffers: the windows of a usual network need it.
	minBuffer = 32 << 10
)

// Guard keeps account of the connections to one port; create it with New.
type Guard struct {
	port   string
	log    *zap.Logger
	mu     sync.Mutex
	intake *intake.Intake
	conns  map[uint64]*Conn
	counts map[reason]int // since the last log line
	logged time.Time
	closed *prometheus.CounterVec
	buffer int64 // as in the limits
}

// New returns a guard of a port with a name for logs and metrics.
func New(port string, l intake.Limits, log *zap.Logger) *Guard {
	return &Guard{
		port: port, log: log, intake: intake.New(l), conns: make(map[uint64]*Conn), counts: make(map[reason]int), buffer: l.Buffer,
		closed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "persimmonstage_connections_closed_total", Help: "Connections closed, or whose request was given up, by the limit that was met.",
			ConstLabels: prometheus.Labels{"port": port},
		}, []string{"limit"}),
	}
}

// Register registers the guard's metrics.
func (g *Guard) Register(reg prometheus.Registerer) {
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help, ConstLabels: prometheus.Labels{"port": g.port}}, func() float64 {
			g.mu.Lock()
			defer g.mu.Unlock()
			return value()
		})
	}
	reg.MustRegister(g.closed,
		gauge("persimmonstage_connections", "Open connections.", func() float64 { return float64(g.intake.Conns()) }),
		gauge("persimmonstage_request_bytes", "Bytes that large requests hold.", func() float64 { return float64(g.intake.Bytes()) }))
}

// Listener returns a listener whose connections are the guard's.
func (g *Guard) Listener(ln net.Listener) net.Listener {
	if err := limitBuffers(ln, max(minBuffer, int(g.buffer))); err != nil {
		g.log.Warn("kernel buffers not limited", zap.String("port", g.port), zap.Error(err))
	}
	return &listener{ln, g}
}

// limitBuffers limits the bytes that the kernel keeps of each connection in each direction, until the process or the caller reads them.
// Without that it may grow them to megabytes. Accepted connections take the sizes from their listener, which saves calls for each.
func limitBuffers(ln net.Listener, bytes int) error {
	sc, ok := ln.(syscall.Conn)
	if !ok {
		return nil // not a socket
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	const kernelFactor = 2 // the kernel doubles the size, for its own bookkeeping
	var setErr error
	if err := raw.Control(func(fd uintptr) {
		for _, option := range []int{syscall.SO_RCVBUF, syscall.SO_SNDBUF} {
			setErr = errors.CombineErrors(setErr, syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, option, bytes/kernelFactor))
		}
	}); err != nil {
		return err
	}
	return setErr
}

type listener struct {
	net.Listener
	guard *Guard
}

// Accept waits for the next connection that the limits admit.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if out := l.guard.open(c); out != nil {
			return out, nil
		}
		_ = c.Close()
	}
}

// open returns the guarded connection, nil if there are too many.
func (g *Guard) open(c net.Conn) *Conn {
	from := addr.Host(c.RemoteAddr())
	g.mu.Lock()
	id, victim, ok := g.intake.Open(uptime.Now(), from)
	closing := g.conns[victim]
	delete(g.conns, victim)
	var out *Conn
	if ok {
		out = &Conn{Conn: c, guard: g, id: id, inHeader: true, gone: make(chan struct{})}
		g.conns[id] = out
	}
	g.mu.Unlock()
	if closing != nil {
		close(closing.gone)
		_ = closing.Conn.Close()
	}
	if closing != nil || !ok {
		g.report(tooManyConns)
	}
	return out
}

// hold records the bytes that a connection's request holds, and returns false if the request has to be given up.
func (g *Guard) hold(c *Conn, bytes int64) bool {
	for n := 0; ; n++ {
		g.mu.Lock()
		ids, wait := g.intake.Hold(uptime.Now(), c.id, bytes)
		if wait && n == maxWaits {
			g.intake.GiveUp(c.id)
			ids, wait = append(ids, c.id), false
		}
		var victims []*Conn
		for _, id := range ids {
			if v := g.conns[id]; v != nil {
				victims = append(victims, v)
			}
		}
		g.mu.Unlock()
		for _, v := range victims {
			if !v.givenUp.Swap(true) {
				_ = v.SetReadDeadline(time.Unix(1, 0)) // the connection stays open for the answer
				g.report(tooManyBytes)
			}
		}
		if !wait {
			return !c.givenUp.Load()
		}
		time.Sleep(waitInterval)
	}
}

// pace reserves processor time for framing, and returns how long to wait for it, or false if there is none in time.
func (g *Guard) pace(until time.Time, bytes, bodyLimit int64) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.intake.Pace(uptime.Now(), until, bytes, bodyLimit)
}

// report counts a closed connection and writes a log line a second at most.
func (g *Guard) report(why reason) {
	g.closed.WithLabelValues(string(why)).Inc()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.counts[why]++
	now := uptime.Now()
	if now.Sub(g.logged) < logInterval {
		return
	}
	g.logged = now
	fields := []zap.Field{zap.String("port", g.port), zap.Int("open", g.intake.Conns()), zap.Int64("bytes", g.intake.Bytes())}
	for _, r := range []reason{tooManyConns, tooManyServed, tooManyBytes, tooManyLines, tooLate, tooMuchFraming} {
		if n := g.counts[r]; n > 0 {
			fields = append(fields, zap.Int(string(r), n))
		}
	}
	clear(g.counts)
	g.log.Warn("connections over the limits closed", fields...)
}
