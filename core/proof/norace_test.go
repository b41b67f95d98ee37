//go:build !race

package proof

const raceDepth = 0
