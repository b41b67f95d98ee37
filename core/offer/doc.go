// Package offer decides at an agent in which turn entries learn of room that has become scarce. The load pattern that it answers is
// many entries with work that waits: told all at once of one free place, all of them send a task there and all but one are refused.
// So the places are offered to as many entries as there are places, drawn at random from those that have sent work lately, a moment
// later to as many more, and so on until the places are taken or all entries know.
package offer
