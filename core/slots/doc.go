// Package slots tracks the free capacity of a host, learns how far declared sizes are off, and guards the host from overload.
//
// A lease holds the larger of its corrected declared needs and its last reported usage. Cores and memory are corrected
// by the observed usage of tasks of the same team and kind; slots and accelerators are exclusive and taken as declared.
//
// Usage reports lag, so the guard projects memory from the last report and its growth since. It acts on the least urgent
// lease first: it throttles while memory or cores are short, and checkpoints (or stops what can't be checkpointed) before
// the host runs out. A requested action counts as done until a timeout, so that the guard doesn't request more than is
// needed while the reports lag; after the timeout it repeats the request, since every action is idempotent.
package slots
