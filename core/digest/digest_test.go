package digest_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/digest"
)

func TestFormattedNumbers(t *testing.T) {
	require.Equal(t, "0", digest.FormatCount(0))
	require.Equal(t, "999", digest.FormatCount(999))
	require.Equal(t, "1,000", digest.FormatCount(1000))
	require.Equal(t, "12,345,678", digest.FormatCount(12_345_678))
	require.Equal(t, "1 job", digest.FormatJobs(1))
	require.Equal(t, "250 ms", digest.FormatDuration(250*time.Millisecond))
	require.Equal(t, "1.5 s", digest.FormatDuration(1500*time.Millisecond))
	require.Equal(t, "2 min 5 s", digest.FormatDuration(125*time.Second))
	require.Equal(t, "3 h 7 min", digest.FormatDuration(3*time.Hour+7*time.Minute))
}

func TestDayWithoutWorkWentWell(t *testing.T) {
	from := time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC)
	g := digest.New(from, from.Add(24*time.Hour), from.Add(48*time.Hour))
	g.Records = 1
	g.Finish()
	require.Equal(t, digest.Well, g.Verdict)
	require.Equal(t, "Yes. The day went well: no work came, and nothing went wrong.", g.Headline)
}

func TestDayWithoutRecordsIsUnsure(t *testing.T) {
	from := time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC)
	for createdAt, want := range map[time.Time]string{
		from.Add(48 * time.Hour): "Can't say: nothing is recorded for this day.",
		from.Add(time.Minute):    "Can't say: nothing is recorded for today yet; the first record comes about a minute after the start.",
	} {
		g := digest.New(from, from.Add(24*time.Hour), createdAt)
		g.Finish()
		require.Equal(t, digest.Unsure, g.Verdict)
		require.Equal(t, want, g.Headline)
	}
}
