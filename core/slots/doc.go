// Package slots keeps what a host has free, learns how far declared sizes are off, and guards the host.
//
// A lease holds the larger of its corrected declared needs and its last reported usage. Cores and memory are corrected
// by what tasks of the same team and kind were seen to use; slots and accelerators are exclusive and taken as declared.
//
// Usage is reported with a lag, so the guard judges memory by the last report and its growth since. It acts on the
// least urgent lease first: throttle while memory or cores are short, checkpoint (or stop what can't be checkpointed)
// before the host runs out. What it has asked for counts as done until a timeout, so that it doesn't ask for more
// than is needed while the reports lag; after the timeout it asks again, since every action is idempotent.
package slots
