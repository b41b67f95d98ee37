package runs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestACancelledJobIsNotStarted guards against starts that an entry orders before it has read of the cancelling, as it was frozen, while
// the agent knows.
func TestACancelledJobIsNotStarted(t *testing.T) {
	g := newHarness(t)
	g.runs.Order(g.now, "e", &Order{
		Attempt: 1, Task: "a", Number: 1, Millicores: need, MemoryMB: 1, Expected: 100 * time.Millisecond, Cancelled: true,
	})
	require.Equal(t, []string{"ended e 1 refused"}, g.log)
}
