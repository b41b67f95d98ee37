package queue_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/queue"
)

// A kind above its own fraction borrows from its team first: while the team uses less than its fraction, the next item
// of the kind counts as within, and only beyond that as borrowed from other teams.
func TestAKindBorrowsFromItsTeamFirst(t *testing.T) {
	var q queue.Queue[int]
	for _, kind := range []string{"cut", "label", "price"} {
		q.SetWeight("kits", kind, 1)
	}
	q.SetWeight("strings", "renewal", 1)
	for i := range 10 {
		require.NoError(t, q.Push(queue.Item[int]{
			Key: fmt.Sprint(i), Team: "kits", Kind: "cut", Run: 10 * time.Second, Size: 100, Value: i,
		}))
	}
	var within []bool
	for range 6 {
		_, ok := q.Pop(func(_ *queue.Item[int], in bool) bool {
			within = append(within, in)
			return true
		})
		require.True(t, ok)
	}
	require.Equal(t, []bool{true, true, true, true, true, false}, within, "the team's fraction is half of the host")
}
