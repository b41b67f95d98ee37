// Package schedd is the part of an entry that serves repeatable jobs: the connections of the agents, the scheduler of
// core/sched on one goroutine, and the operators' document on its way between processes.
//
// Data flow: a submission is posted to the loop, which steps the scheduler; what that orders is gathered by connection and
// goes out in one frame when the posted steps are done. Frames of agents come in on gnet's event loops and are posted as well.
package schedd
