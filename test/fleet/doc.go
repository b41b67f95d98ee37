// Package fleet starts the program's real processes on loopback for the tests of failures, and kills, freezes and
// restarts them. It contains no model of anything: what is tested is the program itself.
package fleet
