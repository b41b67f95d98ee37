// Package runs decides at an agent which tasks run at its target. It starts the tasks that entries order, queues them for a few
// milliseconds if there is no room, or refuses them; stops tasks that are withdrawn or whose entry no longer sends heartbeats;
// maintains the lease under which all tasks run; and reports the end of each attempt to its entry. An end is reported only when
// the attempt isn't running and can't start any more, even if answers of the target were lost or late or a call took effect late.
//
// One goroutine calls it with the current time of a clock that includes suspensions; it reads no clock itself. The state chart of
// a run is in run.chart.toml.
package runs
