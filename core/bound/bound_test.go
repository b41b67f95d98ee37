package bound

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestZeroBoundAdmitsEverything(t *testing.T) {
	require.True(t, Bound{}.Admits(Request{Total: 1 << 40, Kind: 1 << 40, Add: 1 << 40}))
}

// Growth within a guarantee of fixed weights succeeds, whatever the other shares did before.
func TestGrowthWithinAGuaranteeIsNeverRefused(t *testing.T) {
	const kinds = 3
	rapid.Check(t, func(t *rapid.T) {
		b := New(rapid.Int64Range(100, 5000).Draw(t, "limit"))
		teams := rapid.IntRange(1, 8).Draw(t, "teams")
		held := make([][kinds]int64, teams)
		var total int64
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			i := rapid.IntRange(0, teams-1).Draw(t, "team")
			k := rapid.IntRange(0, kinds-1).Draw(t, "kind")
			request := Request{
				Total: total, Team: held[i][0] + held[i][1] + held[i][2], Kind: held[i][k],
				Add:          rapid.Int64Range(1, 200).Draw(t, "add"),
				TeamFraction: 1 / float64(teams), KindFraction: 1.0 / kinds,
			}
			firstOfTeam := request.Team == 0
			within := request.Team+request.Add <= b.Guarantee(request.TeamFraction) ||
				request.Kind+request.Add <= b.Guarantee(request.TeamFraction*request.KindFraction)
			admitted := b.Admits(request)
			if within && !admitted {
				t.Fatalf("refused within the guarantee: %+v", request)
			}
			if admitted && !(firstOfTeam && !within) {
				held[i][k] += request.Add
				total += request.Add
			}
			if total > b.Limit() {
				t.Fatalf("holds %d of %d", total, b.Limit())
			}
		}
	})
}
