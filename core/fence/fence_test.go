package fence_test

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"persimmonstage/core/fence"
	"persimmonstage/core/ident"
	"persimmonstage/core/member"
	"persimmonstage/core/shards"
)

const grace = 2 * time.Second

var (
	start = time.Unix(1000, 0)
	a     = ident.Ident{Name: "a", Incarnation: "a1"}
	b     = ident.Ident{Name: "b", Incarnation: "b1"}
	c     = ident.Ident{Name: "c", Incarnation: "c1"}
)

func members(ids ...ident.Ident) []member.Member {
	var all []member.Member
	for _, id := range ids {
		all = append(all, member.Member{Name: id.Name, Incarnation: id.Incarnation})
	}
	return all
}

// maps returns a map of three members with three shards at version 10 and the next one, without a, at version 20.
func maps(t *testing.T) (*shards.Map, *shards.Map) {
	t.Helper()
	first, err := shards.First("r0", 3, members(a)[0])
	require.NoError(t, err)
	m, err := first.At(1).Next("r1", members(a, b, c), nil, nil)
	require.NoError(t, err)
	n, err := m.At(10).Next("r2", members(b, c), nil, nil)
	require.NoError(t, err)
	return m.At(10), n.At(20)
}

func reason(err error) fence.Reason {
	var r *fence.Refusal
	if errors.As(err, &r) {
		return r.Reason
	}
	return ""
}

func TestAdmitNeedsAMajorityOfYoungStamps(t *testing.T) {
	m, _ := maps(t)
	f := fence.New(grace)
	shard := m.Owned(a)[0]
	admit := func(now time.Time) fence.Reason { return reason(f.Admit(now, shard, m.Epoch(shard), "a1")) }
	require.Equal(t, fence.NoMap, admit(start))
	require.True(t, f.Adopt(m))
	require.False(t, f.Adopt(m))
	require.Equal(t, fence.NoMajority, admit(start))
	f.AddAnswer(start, a, 10, start)
	require.Equal(t, fence.NoMajority, admit(start))
	f.AddAnswer(start, ident.Ident{Name: "b", Incarnation: "b0"}, 10, start)
	require.Equal(t, fence.NoMajority, admit(start), "another incarnation isn't a member")
	f.AddAnswer(start, b, 9, start)
	require.Equal(t, fence.NoMajority, admit(start), "an answer for an older version doesn't count")
	require.True(t, f.AddAnswer(start, b, 20, start))
	require.Equal(t, fence.NoMajority, admit(start), "an answer for a newer version doesn't count")
	f.AddAnswer(start, b, 10, start.Add(time.Hour))
	require.Equal(t, fence.NoMajority, admit(start), "a stamp from the future doesn't count")
	f.AddAnswer(start, b, 10, start)
	require.Empty(t, admit(start))
	require.Empty(t, admit(start.Add(grace-1)))
	require.Equal(t, fence.NoMajority, admit(start.Add(grace)))
	f.AddAnswer(start.Add(grace), b, 10, start)
	require.Equal(t, fence.NoMajority, admit(start.Add(grace)), "the age of a late answer is that of its stamp")
}

func TestAdmitUsesTheNewestMap(t *testing.T) {
	m, n := maps(t)
	f := fence.New(grace)
	require.True(t, f.Adopt(m))
	for _, who := range []ident.Ident{a, b, c} {
		require.False(t, f.AddAnswer(start, who, 10, start))
	}
	moved, kept := m.Owned(a)[0], m.Owned(b)[0]
	require.Equal(t, fence.NotOwner, reason(f.Admit(start, moved, m.Epoch(moved), "b1")))
	require.Equal(t, fence.NewerEpoch, reason(f.Admit(start, moved, n.Epoch(moved), n.Owner(moved).Incarnation)))
	require.Equal(t, fence.UnknownShard, reason(f.Admit(start, 99, 1, "a1")))
	require.True(t, f.AddAnswer(start, b, 20, start), "a newer map is available")
	require.True(t, f.Adopt(n))
	require.False(t, f.Adopt(m))
	require.Equal(t, fence.OldEpoch, reason(f.Admit(start, moved, m.Epoch(moved), "a1")))
	require.Equal(t, fence.NoMajority, reason(f.Admit(start, moved, n.Epoch(moved), n.Owner(moved).Incarnation)))
	require.NoError(t, f.Admit(start, kept, m.Epoch(kept), "b1"), "the prior map is enough for shards that didn't move")
	require.Equal(t, fence.NoMajority, reason(f.Admit(start.Add(grace), kept, m.Epoch(kept), "b1")))
	f.AddAnswer(start, b, 20, start)
	f.AddAnswer(start, c, 20, start)
	require.NoError(t, f.Admit(start, moved, n.Epoch(moved), n.Owner(moved).Incarnation))
}

func BenchmarkAdmit(b *testing.B) {
	first, _ := shards.First("r0", 64, members(a)[0])
	m, _ := first.At(1).Next("r1", members(a, ident.Ident{Name: "b", Incarnation: "b1"}, c), nil, nil)
	f := fence.New(grace)
	f.Adopt(m.At(2))
	for _, id := range m.Idents() {
		f.AddAnswer(start, id, 2, start)
	}
	b.ReportAllocs()
	for b.Loop() {
		if f.Admit(start, 0, m.Epoch(0), m.Owner(0).Incarnation) != nil {
			b.Fatal("refused")
		}
	}
}
