// Package spread decides at an agent when to fetch a newer document and from which entry. Agents fetch at random moments and one
// version a second at most, so that versions in quick succession don't make every entry send each of them to every agent.
package spread
