// Package runsd is the part of an agent that runs repeatable tasks: it connects to every known entry, drives core/runs on one
// goroutine, and calls the target.
//
// Data flow: orders arrive as frames on gnet's event loops and are posted to the loop. Each call to start or stop a run has its
// own goroutine, and a further goroutine polls the target continuously, which extends the lease and returns the ends. Ends and
// the target's state are collected by entry and sent in one frame.
package runsd
