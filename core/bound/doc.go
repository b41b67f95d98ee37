// Package bound divides a limited capacity among teams by weight, and a team's part among its kinds.
//
// A third of the capacity is guaranteed to the teams, a third to the kinds, and a third is common. Growth beyond the
// guarantees stops when a third of the whole capacity is in use, so growth within a guarantee always succeeds as long as
// the weights stay the same, and nothing has to be evicted.
package bound
