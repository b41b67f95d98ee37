// Package bound divides a limited amount of room among weighted shares.
//
// Half of the room is guaranteed to the shares by weight; the other half goes to whoever asks first, but no share
// takes more than two thirds of it. Growth beyond a guarantee stops when half of the room is in use, so that growth
// within a guarantee always finds room. Nothing has to be evicted to keep that promise.
package bound
