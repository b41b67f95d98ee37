// Package bound divides a limited amount of room among teams by weight, and a team's part among its kinds.
//
// A third of the room is guaranteed to the teams, a third to the kinds, and a third is common: growth beyond the
// guarantees stops when a third of the whole room is in use, so growth within a guarantee always finds room as long as
// the weights stay the same. Nothing has to be evicted to keep that promise.
package bound
