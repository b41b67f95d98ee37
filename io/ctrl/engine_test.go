package ctrl_test

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"persimmonstage/io/ctrl"
	"persimmonstage/io/wire"
)

// recorder sends an engine's events to channels.
type recorder struct {
	received chan *wire.Frame
	closed   chan uint64
}

func (r *recorder) Opened(uint64)                     {}
func (r *recorder) Received(_ uint64, fr *wire.Frame) { r.received <- fr }
func (r *recorder) Closed(conn uint64, _ error)       { r.closed <- conn }
func newRecorder() *recorder {
	return &recorder{received: make(chan *wire.Frame, 8), closed: make(chan uint64, 8)}
}

func newEngine(t *testing.T) (*ctrl.Engine, *recorder) {
	r := newRecorder()
	e := ctrl.New(r, zap.NewNop())
	t.Cleanup(func() { e.Stop(context.Background()) })
	return e, r
}

// An engine both listens and dials. Guards against a deadlock in which the start of the client waited for the engine's lock.
func TestOneEngineListensAndDials(t *testing.T) {
	a, eventsA := newEngine(t)
	b, eventsB := newEngine(t)
	addrA, err := a.Listen("127.0.0.1:0")
	require.NoError(t, err)
	_, err = b.Listen("127.0.0.1:0")
	require.NoError(t, err)
	conn, err := b.Dial(t.Context(), addrA)
	require.NoError(t, err)
	require.True(t, b.Send(conn, &wire.Frame{Body: &wire.Frame_Heartbeat{Heartbeat: &wire.Heartbeat{Stamp: 7}}}))
	require.EqualValues(t, 7, (<-eventsA.received).GetHeartbeat().GetStamp())
	b.Drop(conn)
	require.Equal(t, conn, <-eventsB.closed)
	require.False(t, b.Send(conn, &wire.Frame{}))
}

func TestMalformedFrameClosesTheConnection(t *testing.T) {
	cases := map[string][]byte{
		"garbled":       {0, 0, 0, 2, 0xff, 0xff},
		"too large":     {0x7f, 0xff, 0xff, 0xff},
		"unknown frame": {0, 0, 0, 0},
	}
	for name, bytes := range cases {
		t.Run(name, func(t *testing.T) {
			e, events := newEngine(t)
			addr, err := e.Listen("127.0.0.1:0")
			require.NoError(t, err)
			c, err := net.Dial("tcp", addr)
			require.NoError(t, err)
			defer c.Close()
			_, err = c.Write(bytes)
			require.NoError(t, err)
			<-events.closed
			require.Empty(t, events.received)
		})
	}
}

// A restarted process binds its old port while connections of the earlier process are still in TIME_WAIT.
func TestListenReusesThePortOfAStoppedEngine(t *testing.T) {
	first := ctrl.New(newRecorder(), zap.NewNop())
	addr, err := first.Listen("127.0.0.1:0")
	require.NoError(t, err)
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	_, err = c.Write([]byte{0, 0, 0, 0})
	require.NoError(t, err)
	_, _ = c.Read(make([]byte, 1)) // the engine closes first, so the port stays in TIME_WAIT on its side
	require.NoError(t, c.Close())
	first.Stop(context.Background())
	second, _ := newEngine(t)
	_, err = second.Listen(addr)
	require.NoError(t, err)
	third, _ := newEngine(t)
	_, err = third.Listen(addr)
	require.Error(t, err, "two engines must not share a port")
}
