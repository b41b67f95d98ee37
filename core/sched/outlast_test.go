package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAnAttemptThatOutlastsTheResubmissionOfItsJobIsReported guards against double runs of which the first entry's log tells nothing.
func TestAnAttemptThatOutlastsTheResubmissionOfItsJobIsReported(t *testing.T) {
	for _, c := range []struct {
		ran  time.Duration
		want []string
	}{{1300 * time.Millisecond, nil}, {1310 * time.Millisecond, []string{"j1.0.0.0 10ms"}}} {
		h := newHarness()
		h.join("a", 1)
		b := h.batch("j1", 1, time.Second)
		b.Deadline, b.ResubmitAt = h.now.Add(1490*time.Millisecond), h.now.Add(1300*time.Millisecond)
		h.submit(b)
		h.run(c.ran)
		h.endAttempt("a", EndDone, 0)
		require.Equal(t, c.want, h.outlasted)
	}
}
