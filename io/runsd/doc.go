// Package runsd is the part of an agent that carries repeatable tasks: it connects to every entry that it knows, steps
// core/runs on one goroutine, and calls the target.
//
// Data flow: orders come in as frames on gnet's event loops and are posted to the loop; starts and stops are called at the
// target on goroutines of their own, and one goroutine looks at the target all the time, which extends the lease and brings
// the ends. Ends and the target's state are gathered by entry and go out in one frame.
package runsd
