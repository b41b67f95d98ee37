package shards_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"persimmonstage/core/ident"
	"persimmonstage/core/member"
	"persimmonstage/core/shards"
)

func entry(name, incarnation string) member.Member {
	return member.Member{Name: name, Incarnation: incarnation, Control: name + ":1", Bulk: name + ":2", HTTP: name + ":3"}
}

func TestSealQuorumIntersectsEveryMajority(t *testing.T) {
	for n := 1; n <= 9; n++ {
		require.Greater(t, shards.Majority(n)+shards.SealQuorum(n), n)
		require.Equal(t, n+1, shards.Majority(n)+shards.SealQuorum(n))
	}
}

func TestReplacementInheritsShardsUnderNewEpochs(t *testing.T) {
	m, err := shards.First("r1", 8, entry("a", "1"))
	require.NoError(t, err)
	m = m.At(5)
	n, err := m.Next("r2", []member.Member{entry("a", "2")}, nil, []ident.Ident{{Name: "a", Incarnation: "1"}})
	require.NoError(t, err)
	require.Equal(t, int64(5), n.Base())
	require.Len(t, n.Owned(ident.Ident{Name: "a", Incarnation: "2"}), 8)
	require.Equal(t, uint64(2), n.Epoch(3))
	require.Equal(t, []shards.UnsealedMap{{Version: 5, Members: m.Members()}}, n.Unsealed())
}

func TestNextBalancesWithLeastMovement(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		count := rapid.IntRange(1, 64).Draw(rt, "shards")
		m, err := shards.First("r", count, entry("m0", "1"))
		require.NoError(rt, err)
		m = m.At(1)
		for version := int64(2); version < 8; version++ {
			names := rapid.SliceOfNDistinct(rapid.IntRange(0, 5), 1, 5, rapid.ID[int]).Draw(rt, "members")
			var members []member.Member
			for _, i := range names {
				members = append(members, entry(fmt.Sprintf("m%d", i), rapid.SampledFrom([]string{"1", "2"}).Draw(rt, "life")))
			}
			n, err := m.Next("r", members, nil, nil)
			require.NoError(rt, err)
			checkStep(rt, m, n)
			m = n.At(version)
		}
	})
}

func checkStep(rt *rapid.T, m, n *shards.Map) {
	least, most, needed := n.Shards(), 0, 0
	floor := n.Shards() / n.Size()
	for _, one := range n.Members() {
		owned := len(n.Owned(one.Ident()))
		least, most = min(least, owned), max(most, owned)
		if old, ok := m.Find(one.Name); ok {
			needed += max(0, len(m.Owned(old.Ident()))-floor)
		}
	}
	require.LessOrEqual(rt, most-least, 1)
	moved := 0
	for shard := range n.Shards() {
		if n.Owner(shard) == m.Owner(shard) {
			require.Equal(rt, m.Epoch(shard), n.Epoch(shard))
			continue
		}
		require.Equal(rt, m.Epoch(shard)+1, n.Epoch(shard))
		if old, ok := n.Find(m.Owner(shard).Name); ok && n.Owner(shard).Name != old.Name {
			moved++
		}
	}
	require.LessOrEqual(rt, moved, needed, "only what exceeds an even share leaves a live owner")
}

func TestJSON(t *testing.T) {
	m, err := shards.First("r1", 4, entry("a", "1"))
	require.NoError(t, err)
	data, err := json.Marshal(m.At(9))
	require.NoError(t, err)
	var back shards.Map
	require.NoError(t, json.Unmarshal(data, &back))
	require.Equal(t, m.At(9), &back)
	require.Contains(t, string(data), `"data-centre"`)
	for _, bad := range []string{
		`{}`, `{"id":"x","base":0,"members":[],"shards":[]}`, `{"other":1}`,
		`{"id":"x","members":[{"name":"a","incarnation":"1"}],"shards":[{"epoch":1,"owner":"b","incarnation":"1"}]}`,
		`{"id":"x","members":[{"name":"a","incarnation":"1"}],"shards":[{"epoch":0,"owner":"a","incarnation":"1"}]}`,
	} {
		require.Error(t, json.Unmarshal([]byte(bad), &back), bad)
	}
	var e *shards.Error
	require.True(t, errors.As(json.Unmarshal([]byte(`{}`), &back), &e))
	require.Equal(t, "id", e.Field)
}

func TestOf(t *testing.T) {
	seen := map[int]bool{}
	for i := range 1000 {
		shard := shards.Of("senandung", fmt.Sprint(i), 64)
		require.Equal(t, shard, shards.Of("senandung", fmt.Sprint(i), 64))
		seen[shard] = true
	}
	require.Len(t, seen, 64)
	require.Zero(t, testing.AllocsPerRun(100, func() { shards.Of("senandung", "0190", 64) }))
}
