package follow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func lists(f *Follower) bool {
	_, list := f.Next()
	return list
}

// after returns a follower that has listed a topic of n records.
func after(t *testing.T, n int64) *Follower {
	t.Helper()
	f := &Follower{}
	require.True(t, lists(f))
	require.True(t, f.Listed(start, n, n-1))
	return f
}

func TestAReaderListsThenReadsAndListsNowAndThen(t *testing.T) {
	f := after(t, 4)
	for n := range readsPerList {
		from, list := f.Next()
		require.False(t, list, n)
		require.Equal(t, int64(4), from)
		require.True(t, f.Read(0, 4, 0))
	}
	require.True(t, lists(f))
	require.True(t, f.Listed(start, 4, 3))
	require.True(t, f.Read(2, 6, 0))
	from, _ := f.Next()
	require.Equal(t, int64(6), from)
	require.Equal(t, int64(6), f.End())
}

func TestAnEmptyTopicIsKnownWhole(t *testing.T) {
	f := &Follower{}
	require.True(t, f.Listed(start, 0, -1))
}

// TestChangeThatAReadMissedIsListedAtOnce guards against a version that is in force 4.5 s after its confirmation: a waiting read told
// of none, though the end of the topic in its answer had moved.
func TestChangeThatAReadMissedIsListedAtOnce(t *testing.T) {
	f := after(t, 4)
	require.False(t, f.Read(0, 5, 0), "a record that the answer lacks")
	require.True(t, lists(f))
	f = after(t, 4)
	require.False(t, f.Read(1, 9, 8), "records were dropped")
	require.True(t, lists(f))
	require.False(t, f.Listed(start, 9, 3), "it lacks those as well")
	require.False(t, f.Read(0, 9, 8), "the dropped records are still unknown")
	require.True(t, f.Listed(start, 9, 8))
	f = after(t, 4)
	require.False(t, f.Read(1, 7, 0), "a full answer")
	from, list := f.Next()
	require.False(t, list)
	require.Equal(t, int64(5), from)
}

// TestOutdatedListDoesntHideAChange guards against the same after the store has dropped its history and its lists are seconds old:
// reading went on after the end that the list told of, beyond the change that it lacked.
func TestOutdatedListDoesntHideAChange(t *testing.T) {
	f := after(t, 4)
	f.Failed()
	require.False(t, f.Listed(start, 6, 3), "it lacks the last record")
	from, list := f.Next()
	require.False(t, list)
	require.Equal(t, int64(4), from)
	require.True(t, f.Read(2, 6, 0), "the records that the list lacked")

	f = after(t, 6)
	f.Failed()
	require.False(t, f.Listed(start, 4, 3), "an end that has been passed")
	from, _ = f.Next()
	require.Equal(t, int64(6), from)
	require.False(t, f.Read(0, 4, 0), "an answer as old as the list")
	require.True(t, lists(f))
	require.True(t, f.Listed(start, 7, 6))
}

// TestTopicWhoseLastRecordRemovedAKeyIsConfirmed guards against a topic that never counts as read.
func TestTopicWhoseLastRecordRemovedAKeyIsConfirmed(t *testing.T) {
	f := &Follower{}
	require.False(t, f.Listed(start, 6, 3))
	require.False(t, f.Listed(start.Add(maxPartial), 6, 3))
	require.True(t, f.Listed(start.Add(maxPartial+time.Millisecond), 6, 3))
	require.False(t, f.Listed(start.Add(maxPartial+time.Second), 7, 3), "a later one")
}

func TestPausesGrowUntilACallSucceeds(t *testing.T) {
	f := after(t, 4)
	for _, want := range []time.Duration{minPause, 2 * minPause, 4 * minPause, maxPause, maxPause} {
		f.Failed()
		require.Equal(t, want, f.Pause())
		require.True(t, lists(f))
	}
	require.True(t, f.Listed(start, 4, 3))
	require.Zero(t, f.Pause())
	f.Failed()
	require.Equal(t, minPause, f.Pause())
}

// TestOutdatedAnswersAreNotRequestedWithoutAPause guards against hundreds of calls a second while lists are outdated.
func TestOutdatedAnswersAreNotRequestedWithoutAPause(t *testing.T) {
	f, calls := after(t, 4), 0
	f.Failed()
	for now := start; now.Sub(start) < 5*time.Second; now = now.Add(max(time.Millisecond, f.Pause())) {
		calls++
		if lists(f) {
			f.Listed(now, 9, 3)
		} else {
			f.Read(1, 9, 8)
		}
	}
	require.Less(t, calls, 20)
}
