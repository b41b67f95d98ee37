package hello_test

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"persimmonstage/core/intake"
	"persimmonstage/io/hello"
)

// closer records that it was closed.
type closer struct{ closed bool }

func (c *closer) Close() error { c.closed = true; return nil }

var from = &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1}

func TestTheOldestUnidentifiedConnectionIsClosed(t *testing.T) {
	b := hello.New("control", intake.Limits{Conns: 2}, zap.NewNop())
	agent, old, other, last := &closer{}, &closer{}, &closer{}, &closer{}
	id, ok := b.Open(agent, from)
	require.True(t, ok)
	b.Done(id) // it has identified itself
	for _, c := range []*closer{old, other, last} {
		_, ok = b.Open(c, from)
		require.True(t, ok)
	}
	require.True(t, old.closed)
	require.False(t, agent.closed || other.closed || last.closed)
}

func TestUnfinishedMessagesStayWithinTheirBytes(t *testing.T) {
	b := hello.New("control", intake.Limits{Bytes: 100}, zap.NewNop())
	large, small := &closer{}, &closer{}
	first, _ := b.Open(large, from)
	second, _ := b.Open(small, from)
	require.True(t, b.Hold(first, 80))
	require.True(t, b.Hold(second, 30))
	require.True(t, large.closed)
	require.False(t, b.Hold(first, 90), "it was closed")
	b.Done(first)
	require.True(t, b.Hold(second, 1000), "a message that is alone is read")
}

func TestWithoutABoundEverythingIsAdmitted(t *testing.T) {
	var b *hello.Bound
	id, ok := b.Open(&closer{}, from)
	require.True(t, ok)
	require.True(t, b.Hold(id, 1<<40))
	b.Done(id)
}
