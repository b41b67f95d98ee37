// Package rtt estimates from the calls to one target how long an answer takes, and how many answers are lost.
package rtt
