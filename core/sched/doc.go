// Package sched decides at an entry for the repeatable jobs that callers sent to it: which are refused, in which order the
// others wait, at which target each task is attempted, and when an attempt may be followed by another.
//
// It is stepped by one goroutine with the present time and keeps no clock. Work waits here, and at an agent for some
// milliseconds only, so a task is bound to a target only when there is room for it or about to be.
//
// The load patterns that the parts answer: order.go, more work than the targets hold for seconds at a time; choose.go, targets
// that differ in speed, jobs as slow as their slowest task, and many entries that see the same room; forecast.go, tasks that turn
// out long and targets that turn slow; lost.go, targets and agents that fall silent.
package sched
