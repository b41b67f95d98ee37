// Package polls decides how an agent polls its target for the ends of runs: how long the target may wait for an end before it
// answers, and when the next poll is sent beside one that isn't answered.
//
// The load pattern is a target that loses answers. The room of a task that has ended stays taken until an answered poll lists its
// end, so the delay of ends decides how much of the target's capacity is usable.
package polls
