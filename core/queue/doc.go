// Package queue is the fair queue in which an agent keeps the tasks that wait for its host's capacity.
//
// Scheduling has two levels of start-time fair queueing: over teams by weight, then over the kinds of a team by weight.
// Each share has a start tag in virtual time. The lowest tag is served first, and serving an item advances the tag by
// the item's cost divided by the weight. A share that was idle catches up at most one second of its own fraction, so it
// can't accumulate credit. Urgency and deadline order items only within their share.
//
// Cost is the expected run time times the fraction of the host that an item takes. Done charges the actual run time.
//
// Unused shares are lent to shares with a backlog. The longer an item runs, the more of the recent peak use of the
// others is withheld from it, because a running task can't be preempted.
//
// An item that doesn't fit the free capacity is bypassed only by shares whose start tag is not past the finish tag
// that the item would get. After that the queue serves nothing until it fits, so that large items don't starve.
package queue
