// Package admit is the bounded admission of jobs at the entry that owns their shards.
//
// A job is refused at once when its team's quota, the capacity for waiting tasks, or its deadline rules it out. The
// check uses only counts, so it can run before payloads are decoded. Package bound divides the capacity by weight, so a
// team within its weight isn't refused because of another team's flood.
//
// A share is the capacity of one kind of one team. Its expected wait is its backlog divided by its service rate: the
// reported rate, or the fraction of the fleet that its weight gives it among the busy shares, whichever is larger.
// Work is measured in host-seconds: the expected run time times the fraction of a host that a task takes.
package admit
