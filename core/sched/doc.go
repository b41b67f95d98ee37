// Package sched schedules an entry's repeatable jobs: it decides which are refused, in which order the others wait, on which
// target each task is attempted, and when a task may be attempted again.
//
// All methods are called from one goroutine and get the current time as an argument. Tasks wait in the entry's queue, and on an
// agent for a few milliseconds only, so a task is assigned to a target only when there is free capacity or is about to be.
//
// order.go handles overload that lasts for seconds; share.go floods of some kinds of work beside others; choose.go targets of
// different speed, jobs that are as slow as their slowest task, and many entries that compete for the same free capacity;
// forecast.go tasks that take longer than expected and targets that become slow; targets.go targets and agents that disconnect;
// stall.go stalls of this process, during which callers leave; confine.go jobs that crash each target which starts them.
package sched
