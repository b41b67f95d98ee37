// Package gossip keeps recent notices that processes pass on to each other: each connection gets every notice once.
//
// Cancelled jobs are passed on this way, in the heartbeats between entries and agents and their answers, so that a notice costs no message.
package gossip
