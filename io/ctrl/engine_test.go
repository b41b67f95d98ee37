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

// recorder passes on what happens on the connections of an engine.
type recorder struct {
	framed chan *wire.Frame
	closed chan uint64
}

func (r *recorder) Opened(uint64)                     {}
func (r *recorder) Received(_ uint64, fr *wire.Frame) { r.framed <- fr }
func (r *recorder) Closed(conn uint64, _ error)       { r.closed <- conn }
func newRecorder() *recorder {
	return &recorder{framed: make(chan *wire.Frame, 8), closed: make(chan uint64, 8)}
}

func engine(t *testing.T) (*ctrl.Engine, *recorder) {
	r := newRecorder()
	e := ctrl.New(r, zap.NewNop())
	t.Cleanup(func() { e.Stop(context.Background()) })
	return e, r
}

// The engine that listens also dials; a client start that waited for the engine's lock hung here for good.
func TestOneEngineListensAndDials(t *testing.T) {
	a, heardA := engine(t)
	b, heardB := engine(t)
	addrA, err := a.Listen("127.0.0.1:0")
	require.NoError(t, err)
	_, err = b.Listen("127.0.0.1:0")
	require.NoError(t, err)
	conn, err := b.Dial(t.Context(), addrA)
	require.NoError(t, err)
	require.True(t, b.Send(conn, &wire.Frame{Body: &wire.Frame_Heartbeat{Heartbeat: &wire.Heartbeat{Stamp: 7}}}))
	require.EqualValues(t, 7, (<-heardA.framed).GetHeartbeat().GetStamp())
	b.Drop(conn)
	require.Equal(t, conn, <-heardB.closed)
	require.False(t, b.Send(conn, &wire.Frame{}))
}

func TestGarbledFrameEndsTheConnection(t *testing.T) {
	cases := map[string][]byte{
		"garbled":       {0, 0, 0, 2, 0xff, 0xff},
		"too large":     {0x7f, 0xff, 0xff, 0xff},
		"unknown frame": {0, 0, 0, 0},
	}
	for name, bytes := range cases {
		t.Run(name, func(t *testing.T) {
			e, heard := engine(t)
			addr, err := e.Listen("127.0.0.1:0")
			require.NoError(t, err)
			c, err := net.Dial("tcp", addr)
			require.NoError(t, err)
			defer c.Close()
			_, err = c.Write(bytes)
			require.NoError(t, err)
			<-heard.closed
			require.Empty(t, heard.framed)
		})
	}
}

// A restarted process binds its old port while connections of the earlier one still wait for their end in the kernel.
func TestListensAgainOnThePortOfAnEndedEngine(t *testing.T) {
	first := ctrl.New(newRecorder(), zap.NewNop())
	addr, err := first.Listen("127.0.0.1:0")
	require.NoError(t, err)
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	_, err = c.Write([]byte{0, 0, 0, 0})
	require.NoError(t, err)
	_, _ = c.Read(make([]byte, 1)) // the engine closes first, so its side keeps the port for a while
	require.NoError(t, c.Close())
	first.Stop(context.Background())
	second, _ := engine(t)
	_, err = second.Listen(addr)
	require.NoError(t, err)
	third, _ := engine(t)
	_, err = third.Listen(addr)
	require.Error(t, err, "two engines must not share a port")
}
