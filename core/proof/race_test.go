//go:build race

package proof

// raceDepth shortens each history under the race detector, which makes the search ten times slower; the full depth is run
// without it.
const raceDepth = 3
