package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestATermDecidesOnlyBetweenTargetsThatEarlierTermsRateAsEqual guards the order in which the criteria of a placement count.
func TestATermDecidesOnlyBetweenTargetsThatEarlierTermsRateAsEqual(t *testing.T) {
	ms := time.Millisecond
	base := candidate{target: &target{}, run: 100 * ms, freeFraction: 0.5}
	cases := []struct {
		name    string
		ranking ranking
		a       candidate
		better  bool
		term    string
	}{
		{"room for more than one task goes first", economical, candidate{target: &target{}, run: 200 * ms, freeFraction: 0.9, lastSlot: true}, false, "room"},
		{"a slow target is taken if it is in time", economical, candidate{target: &target{}, run: 200 * ms, freeFraction: 0.1}, true, "slow"},
		{"a fast target is taken if time is short", urgent, candidate{target: &target{}, run: 70 * ms, freeFraction: 0.1}, true, "fast"},
		{"similar paces leave the choice to the free room", urgent, candidate{target: &target{}, run: 110 * ms, freeFraction: 0.6}, true, "free"},
		{"a target that fails a part of what it runs goes last", urgent, candidate{target: &target{state: TargetState{Failing: 0.125}}, run: 50 * ms, freeFraction: 0.9}, false, "sound"},
		{"a conflict counts more than the pace if there is time", economical, candidate{target: &target{}, run: 200 * ms, freeFraction: 0.5, slowdown: 0.2}, false, "apart"},
		{"room counts more than a conflict", economical, candidate{target: &target{}, run: 100 * ms, freeFraction: 0.5, lastSlot: true}, false, "room"},
		{"the pace counts more than a conflict if time is short", urgent, candidate{target: &target{}, run: 70 * ms, freeFraction: 0.1, slowdown: 0.2}, true, "fast"},
		{"a conflict counts more than the free room", urgent, candidate{target: &target{}, run: 100 * ms, freeFraction: 0.9, slowdown: 0.2}, false, "apart"},
		{"equal targets", urgent, base, false, ""},
	}
	for _, c := range cases {
		better, name := c.ranking.prefers(&c.a, &base)
		require.Equal(t, c.better, better, c.name)
		require.Equal(t, c.term, name, c.name)
	}
}
