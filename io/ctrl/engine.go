package ctrl

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"persimmonstage/io/frame"
	"persimmonstage/io/hello"
	"persimmonstage/io/wire"
)

const eventLoops = 2

// handler receives the events of the connections; its methods run on gnet's event loops.
type handler interface {
	Opened(conn uint64)
	Received(conn uint64, f *wire.Frame)
	Closed(conn uint64, cause error)
}

// peer is the context of a gnet connection; only the connection's event loop uses its account.
type peer struct {
	id      uint64
	account uint64 // at the bound, until the first frame of an accepted connection
	unknown bool   // no frame of an accepted connection was received yet
}

// Engine holds the control connections of a process, both accepted and dialled ones.
//
// Both kinds share one event handler, so frames are decoded, counted and refused in one place.
// Connections are identified by numbers, which are not reused after a connection has ended.
type Engine struct {
	gnet.BuiltinEventEngine
	handler   handler
	log       *zap.Logger
	lastID    atomic.Uint64
	mu        sync.RWMutex
	conns     map[uint64]gnet.Conn
	server    gnet.Engine
	client    *gnet.Client
	listening chan string
	bound     *hello.Bound
	bytesIn   atomic.Uint64
	bytesOut  atomic.Uint64
}

// New returns an engine that passes its events to h.
func New(h handler, log *zap.Logger) *Engine {
	return &Engine{handler: h, log: log, conns: make(map[uint64]gnet.Conn), listening: make(chan string, 1)}
}

// SetBound bounds what accepted connections hold until their first frame; it is called before Listen.
func (e *Engine) SetBound(b *hello.Bound) { e.bound = b }

// Listen accepts connections on addr (IP:port, port 0 for any) and returns the bound address.
func (e *Engine) Listen(addr string) (string, error) {
	failed := make(chan error, 1)
	go func() {
		failed <- gnet.Run(e, "tcp://"+addr, gnet.WithNumEventLoop(eventLoops), gnet.WithReuseAddr(true),
			gnet.WithTCPNoDelay(gnet.TCPNoDelay),
			gnet.WithLogger(gnetLogger{e.log}), gnet.WithLogLevel(logging.ErrorLevel))
	}()
	select {
	case bound := <-e.listening:
		return bound, nil
	case err := <-failed:
		return "", errors.Wrapf(err, "control port %s", addr)
	}
}

// Dial connects to addr within the context's deadline and returns the connection's number after Opened was called.
func (e *Engine) Dial(ctx context.Context, addr string) (uint64, error) {
	client, err := e.ensureClient()
	if err != nil {
		return 0, err
	}
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return 0, err
	}
	id := e.lastID.Add(1)
	if _, err := client.EnrollContext(raw, &peer{id: id}); err != nil {
		return 0, errors.Wrapf(err, "control connection to %s", addr)
	}
	return id, nil
}

func (e *Engine) ensureClient() (*gnet.Client, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.client != nil {
		return e.client, nil
	}
	client, err := gnet.NewClient(clientEvents{e}, gnet.WithNumEventLoop(1), gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithLogger(gnetLogger{e.log}), gnet.WithLogLevel(logging.ErrorLevel))
	if err != nil {
		return nil, errors.Wrap(err, "control client")
	}
	if err := client.Start(); err != nil {
		return nil, errors.Wrap(err, "control client")
	}
	e.client = client
	return client, nil
}

// Send queues f on the connection; it reports false when the connection has ended.
func (e *Engine) Send(conn uint64, f *wire.Frame) bool {
	e.mu.RLock()
	c, ok := e.conns[conn]
	e.mu.RUnlock()
	if !ok {
		return false
	}
	buf, err := frame.Append(nil, f)
	if err != nil {
		e.log.Error("control frame not encoded", zap.Error(err))
		return false
	}
	e.bytesOut.Add(uint64(len(buf)))
	return c.AsyncWrite(buf, nil) == nil
}

// Drop closes the connection.
func (e *Engine) Drop(conn uint64) {
	e.mu.RLock()
	c, ok := e.conns[conn]
	e.mu.RUnlock()
	if ok {
		_ = c.Close()
	}
}

// Bytes returns the number of bytes received and sent since the start.
func (e *Engine) Bytes() (in, out uint64) {
	return e.bytesIn.Load(), e.bytesOut.Load()
}

// Stop closes every connection and the listener.
func (e *Engine) Stop(ctx context.Context) {
	e.mu.Lock()
	client, server := e.client, e.server
	e.client = nil
	e.mu.Unlock()
	if client != nil {
		_ = client.Stop()
	}
	if server.Validate() == nil {
		_ = server.Stop(ctx)
	}
}

// clientEvents is the event handler of the dialled connections; its OnBoot has no listener to report.
type clientEvents struct{ *Engine }

// OnBoot is called by gnet when the client has started.
func (clientEvents) OnBoot(gnet.Engine) gnet.Action { return gnet.None }

// OnBoot is called by gnet when the listener is bound.
func (e *Engine) OnBoot(eng gnet.Engine) gnet.Action {
	e.mu.Lock()
	e.server = eng
	e.mu.Unlock()
	bound, err := boundAddr(eng)
	if err != nil {
		e.log.Error("control port has no address", zap.Error(err))
		return gnet.Shutdown
	}
	e.listening <- bound
	return gnet.None
}

func boundAddr(eng gnet.Engine) (string, error) {
	fd, err := eng.Dup()
	if err != nil {
		return "", err
	}
	defer unix.Close(fd)
	sa, err := unix.Getsockname(fd)
	if err != nil {
		return "", err
	}
	switch a := sa.(type) {
	case *unix.SockaddrInet4:
		return fmt.Sprintf("%s:%d", net.IP(a.Addr[:]), a.Port), nil
	case *unix.SockaddrInet6:
		return fmt.Sprintf("[%s]:%d", net.IP(a.Addr[:]), a.Port), nil
	}
	return "", errors.New("control port: unknown address family")
}

// OnOpen is called by gnet for every new connection.
func (e *Engine) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	p, dialled := c.Context().(*peer)
	if !dialled {
		account, ok := e.bound.Open(c, c.RemoteAddr())
		if !ok {
			return nil, gnet.Close
		}
		p = &peer{id: e.lastID.Add(1), account: account, unknown: true}
		c.SetContext(p)
	}
	e.mu.Lock()
	e.conns[p.id] = c
	e.mu.Unlock()
	e.handler.Opened(p.id)
	return nil, gnet.None
}

// OnTraffic is called by gnet when bytes have arrived; a frame that cannot be decoded ends the connection.
func (e *Engine) OnTraffic(c gnet.Conn) gnet.Action {
	p := c.Context().(*peer)
	for {
		buf, _ := c.Peek(-1)
		var f wire.Frame
		n, err := frame.Decode(buf, frame.ControlLimit, &f)
		if err != nil {
			e.log.Warn("control connection refused", zap.String("peer", c.RemoteAddr().String()), zap.Error(err))
			return gnet.Close
		}
		if n == 0 {
			if p.unknown && !e.bound.Hold(p.account, int64(len(buf))) {
				return gnet.Close
			}
			return gnet.None
		}
		_, _ = c.Discard(n)
		e.bytesIn.Add(uint64(n))
		if f.Body == nil {
			e.log.Warn("control connection refused", zap.String("peer", c.RemoteAddr().String()), zap.String("reason", "unknown frame"))
			return gnet.Close
		}
		if p.unknown {
			p.unknown = false
			e.bound.Done(p.account)
		}
		e.handler.Received(p.id, &f)
	}
}

// OnClose is called by gnet when a connection has ended.
func (e *Engine) OnClose(c gnet.Conn, err error) gnet.Action {
	p, ok := c.Context().(*peer)
	if !ok {
		return gnet.None
	}
	if p.unknown {
		e.bound.Done(p.account)
	}
	e.mu.Lock()
	delete(e.conns, p.id)
	e.mu.Unlock()
	e.handler.Closed(p.id, err)
	return gnet.None
}

// gnetLogger writes gnet's errors to the process's log and drops lower levels.
type gnetLogger struct{ log *zap.Logger }

func (l gnetLogger) Debugf(string, ...any) {}
func (l gnetLogger) Infof(string, ...any)  {}
func (l gnetLogger) Warnf(string, ...any)  {}
func (l gnetLogger) Errorf(format string, args ...any) {
	l.log.Warn("control transport", zap.String("detail", fmt.Sprintf(format, args...)))
}

func (l gnetLogger) Fatalf(format string, args ...any) {
	l.log.Error("control transport", zap.String("detail", fmt.Sprintf(format, args...)))
}
