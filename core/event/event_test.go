package event_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/cause"
	"persimmonstage/core/event"
)

func TestOverlaps(t *testing.T) {
	at := time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)
	span := event.Event{At: at, Until: at.Add(time.Minute), Cause: cause.LogDown}
	require.True(t, span.Overlaps(at.Add(-time.Hour), at.Add(time.Second)))
	require.False(t, span.Overlaps(at.Add(-time.Hour), at), "the end of the range is outside it")
	require.True(t, span.Overlaps(at.Add(time.Minute), at.Add(time.Hour)))
	require.False(t, span.Overlaps(at.Add(2*time.Minute), at.Add(time.Hour)))
	point := event.Event{At: at, Cause: cause.TargetLost}
	require.True(t, point.Overlaps(at, at.Add(1)))
	require.False(t, point.Overlaps(at.Add(1), at.Add(time.Hour)))
}

func TestSentenceNamesTheAffected(t *testing.T) {
	e := event.Event{Cause: cause.Flood, Team: "senandung", Kind: "renewal"}
	require.Equal(t, "A flood of renewal from senandung was more than the targets can take.", e.Sentence())
	e = event.Event{Cause: cause.TargetLost, Subject: "runner-3"}
	require.Equal(t, "The target runner-3, or the host it ran on, died or stopped answering.", e.Sentence())
}
