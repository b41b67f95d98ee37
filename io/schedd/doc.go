// Package schedd is the part of an entry that serves repeatable jobs: it handles the connections of the agents, runs the
// scheduler of core/sched on one goroutine, and distributes the operators' document between processes.
//
// Data flow: a submission is posted to the loop, which calls the scheduler. The resulting orders are collected per connection and
// sent in one frame once the steps already posted are done. Frames from agents arrive on gnet's event loops and are posted too.
package schedd
