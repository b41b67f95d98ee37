package gossip

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestEachConnectionGetsEveryNoticeOnce(t *testing.T) {
	var g Gossip[string]
	now := time.Unix(1000, 0)
	require.True(t, g.Add(now, "a"))
	require.False(t, g.Add(now, "a"))
	require.True(t, g.Known(now, "a"))
	require.False(t, g.Known(now, "b"))
	ids, first := g.After(now, 0)
	require.Equal(t, []string{"a"}, ids)
	g.Add(now, "b")
	ids, first = g.After(now, first)
	require.Equal(t, []string{"b"}, ids)
	ids, _ = g.After(now, first)
	require.Empty(t, ids)
	ids, _ = g.After(now, 0)
	require.Equal(t, []string{"a", "b"}, ids, "a later connection")
}

func TestNoticesExpireAndAreBounded(t *testing.T) {
	var g Gossip[string]
	now := time.Unix(1000, 0)
	g.Add(now, "a")
	_, pos := g.After(now, 0)
	now = now.Add(retention)
	ids, _ := g.After(now, 0)
	require.Empty(t, ids)
	require.False(t, g.Known(now, "a"))
	require.True(t, g.Add(now, "a"))
	ids, _ = g.After(now, pos)
	require.Equal(t, []string{"a"}, ids)
	for i := range 2 * maxNotices {
		g.Add(now, fmt.Sprint(i))
	}
	require.Len(t, g.notices, maxNotices)
	require.Len(t, g.known, maxNotices)
	got := 0
	for ids, pos = g.After(now, 0); len(ids) > 0; ids, pos = g.After(now, pos) {
		require.LessOrEqual(t, len(ids), maxBatch)
		got += len(ids)
	}
	require.Equal(t, maxNotices, got)
}
