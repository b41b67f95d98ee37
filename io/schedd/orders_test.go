package schedd

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"persimmonstage/io/frame"
	"persimmonstage/io/wire"
)

// TestLargeOrdersFitIntoFrames guards against connections that break again and again, as the orders of a job of many tasks with large data
// were sent in one frame.
func TestLargeOrdersFitIntoFrames(t *testing.T) {
	all := &wire.RunOrders{Stops: []uint64{1, 2}}
	for i := range 160 {
		all.Starts = append(all.Starts, &wire.RunStart{Attempt: uint64(i), Task: fmt.Sprintf("5c0e7a21d94b36f8.0.0.%d", i), Payload: make([]byte, 4000)})
	}
	parts := splitOrders(all)
	require.Greater(t, len(parts), 1)
	require.Equal(t, all.Stops, parts[0].Stops)
	var starts []*wire.RunStart
	for _, part := range parts {
		sent, err := frame.Append(nil, &wire.Frame{Body: &wire.Frame_RunOrders{RunOrders: part}})
		require.NoError(t, err)
		require.Less(t, len(sent), frame.ControlLimit)
		starts = append(starts, part.Starts...)
	}
	require.Equal(t, all.Starts, starts)
	require.Len(t, splitOrders(&wire.RunOrders{Starts: all.Starts[:2]}), 1)
}
