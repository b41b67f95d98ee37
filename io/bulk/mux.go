package bulk

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"go.uber.org/zap"

	"persimmonstage/io/frame"
	"persimmonstage/io/hello"
	"persimmonstage/io/wire"
)

const (
	acceptBacklog       = 1024
	keepAliveInterval   = 10 * time.Second
	writeTimeout        = 5 * time.Second
	streamWindowBytes   = 1 << 20
	firstMessageTimeout = 5 * time.Second
	streamCloseTimeout  = time.Second
)

// streamHandler handles an accepted stream and its first message; it must close the stream.
type streamHandler func(m *Mux, first *wire.Bulk, s net.Conn)

// errOverBytes is returned for a stream whose unfinished message was given up.
var errOverBytes = errors.New("too many bytes of unfinished messages at once")

const (
	// streamBytes is what a stream holds besides its first message.
	streamBytes = 16 << 10
	// unreadBytes is what yamux receives of a stream before it is read.
	unreadBytes = 256 << 10
)

// Mux is one bulk connection to another process; either side can open streams on it.
type Mux struct {
	session *yamux.Session
	log     *zap.Logger
	handler streamHandler
	// bounds apply to accepted connections, and account is the connection's there until its first message.
	bounds  Bounds
	account uint64
	known   atomic.Bool
}

// Bounds bound what accepted connections hold: the connections until their first message, and the first messages of streams.
type Bounds struct {
	Conns, Messages *hello.Bound
}

func yamuxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.AcceptBacklog = acceptBacklog
	cfg.KeepAliveInterval = keepAliveInterval
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.MaxStreamWindowSize = streamWindowBytes
	cfg.StreamCloseTimeout = streamCloseTimeout
	cfg.LogOutput = io.Discard
	return cfg
}

// Dial connects to the bulk port at addr; f handles the streams that the other side opens.
func Dial(ctx context.Context, addr string, log *zap.Logger, f func(m *Mux, first *wire.Bulk, s net.Conn)) (*Mux, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	session, err := yamux.Client(conn, yamuxConfig())
	if err != nil {
		return nil, errors.Wrapf(err, "bulk connection to %s", addr)
	}
	m := &Mux{session: session, log: log, handler: f}
	go m.accept()
	return m, nil
}

// Serve accepts connections from l within bounds until l is closed; f handles the streams that the other sides open.
func Serve(l net.Listener, b Bounds, log *zap.Logger, f func(m *Mux, first *wire.Bulk, s net.Conn)) {
	var mu sync.Mutex
	open := make(map[*Mux]bool)
	for {
		conn, err := l.Accept()
		if err != nil {
			break
		}
		account, ok := b.Conns.Open(conn, conn.RemoteAddr())
		if !ok {
			_ = conn.Close()
			continue
		}
		session, err := yamux.Server(conn, yamuxConfig())
		if err != nil {
			b.Conns.Done(account)
			_ = conn.Close()
			continue
		}
		m := &Mux{session: session, log: log, handler: f, bounds: b, account: account}
		mu.Lock()
		open[m] = true
		mu.Unlock()
		go func() {
			m.accept()
			b.Conns.Done(account)
			mu.Lock()
			delete(open, m)
			mu.Unlock()
		}()
	}
	mu.Lock()
	defer mu.Unlock()
	for m := range open {
		m.Close()
	}
}

func (m *Mux) accept() {
	for {
		s, err := m.session.Accept()
		if err != nil {
			m.logEnd(err)
			_ = m.session.Close()
			return
		}
		go m.handleStream(s)
	}
}

// logEnd logs why a connection ended, unless one side closed it in order.
func (m *Mux) logEnd(err error) {
	if errors.Is(err, io.EOF) || errors.Is(err, yamux.ErrSessionShutdown) {
		return
	}
	m.log.Warn("bulk connection refused", zap.String("peer", m.session.RemoteAddr().String()), zap.Error(err))
}

func (m *Mux) handleStream(s net.Conn) {
	_ = s.SetReadDeadline(time.Now().Add(firstMessageTimeout))
	var b wire.Bulk
	err := m.readFirst(s, &b)
	if err == nil && b.Body == nil {
		err = errors.New("unknown message")
	}
	if err != nil {
		m.refuse(s, err)
		return
	}
	_ = s.SetReadDeadline(time.Time{})
	m.handler(m, &b, s)
}

// readFirst reads the first message of a stream.
func (m *Mux) readFirst(s net.Conn, b *wire.Bulk) error {
	messages := m.bounds.Messages
	id, ok := messages.Open(offender{m, s}, s.RemoteAddr())
	defer messages.Done(id)
	own := int64(streamBytes)
	if !m.known.Load() {
		// Of a process that has identified itself, nothing is unread for long.
		own += unreadBytes
	}
	if !ok || !messages.Hold(id, own) {
		return errOverBytes
	}
	err := frame.ReadHeld(s, frame.BulkLimit, b, func(bytes int64) error {
		if !messages.Hold(id, own+bytes) {
			return errOverBytes
		}
		return nil
	})
	if err == nil && !m.known.Swap(true) {
		m.bounds.Conns.Done(m.account)
	}
	return err
}

// offender is a stream whose unfinished message holds too much.
type offender struct {
	mux    *Mux
	stream net.Conn
}

// Close ends the stream, and the whole connection unless a message of it was read before.
func (o offender) Close() error {
	if !o.mux.known.Load() {
		return o.mux.session.Close()
	}
	return o.stream.SetReadDeadline(time.Unix(1, 0))
}

func (m *Mux) refuse(s net.Conn, err error) {
	var framing *frame.Error
	if errors.Is(err, errOverBytes) && !m.known.Load() {
		_ = m.session.Close() // the bound has logged it
		return
	}
	_ = s.Close()
	if m.session.IsClosed() {
		return
	}
	m.log.Warn("bulk stream refused", zap.String("peer", m.session.RemoteAddr().String()), zap.Error(err))
	if errors.As(err, &framing) {
		_ = m.session.Close()
	}
}

// Open opens a stream and sends first on it.
func (m *Mux) Open(first *wire.Bulk) (net.Conn, error) {
	s, err := m.session.Open()
	if err != nil {
		return nil, err
	}
	if err := frame.Write(s, first); err != nil {
		_ = s.Close()
		return nil, err
	}
	return s, nil
}

// Request sends a request on a new stream and waits for the answer until the context ends.
func (m *Mux) Request(ctx context.Context, request *wire.Bulk) (*wire.Bulk, error) {
	s, err := m.session.Open()
	if err != nil {
		return nil, err
	}
	defer s.Close()
	stop := context.AfterFunc(ctx, func() { _ = s.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := frame.Write(s, request); err != nil {
		return nil, err
	}
	var answer wire.Bulk
	if err := frame.Read(s, frame.BulkLimit, &answer); err != nil {
		return nil, err
	}
	return &answer, nil
}

// Closed is closed when the connection has ended.
func (m *Mux) Closed() <-chan struct{} {
	return m.session.CloseChan()
}

// Close ends the connection and its streams.
func (m *Mux) Close() {
	_ = m.session.Close()
}
