// Package queue is the fair queue in which an agent keeps the tasks that wait for its host's capacity.
//
// Order: two levels of start-time fair queueing, first over teams by weight, then over the kinds of a team by weight.
// Each share has a start tag in virtual time; the lowest goes first, and serving an item moves the tag on by the
// item's cost over the weight. A share that was idle catches up at most a second of its own part, so it hoards no
// credit. Urgency and deadline order items only inside their own share.
//
// Cost is the expected run time times the fraction of the host that an item takes. Done charges the true run time.
//
// Unused shares are lent to those with a backlog, but the longer an item runs, the more of the others' recent peak is
// kept free from it, because a running task can't be called back.
//
// An item that doesn't fit the free capacity is bypassed only by shares whose start tag is not past the finish tag
// that the item would get. After that the queue serves nothing until it fits, so that large items don't starve.
package queue
