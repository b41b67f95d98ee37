//go:build race

package proof

// raceDepth is how many actions shorter each history is under the race detector, which makes the search ten times slower; the
// full depth is searched without it.
const raceDepth = 3
