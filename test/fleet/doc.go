// Package fleet starts the program's real processes on loopback for the tests of failures, and kills, freezes and
// restarts them. It models nothing: the tests run the program itself.
package fleet
