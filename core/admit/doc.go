// Package admit is the bounded admission of jobs at the entry that owns their shards.
//
// A job is refused at once when its team's quota, the room for tasks that wait, or its deadline says that it can't
// be done; the check needs counts alone, so that it can be made before payloads are decoded. Room is divided by weight
// with package bound, so a team within its weight isn't refused because of another team's flood.
//
// The expected wait of a share is its backlog over the rate at which the fleet serves it: the reported rate, or
// the part of the fleet that its weight gives it among the shares that are busy now, whichever is larger.
// Work is measured in host-seconds: expected run time by the part of a host that a task takes.
package admit
