// Package terms checks that the leases of runs fit into the platform's times, and derives from them when another entry may be handed a job: a
// caller that has left, seen by the entry or not, hands the job in again after a known time.
package terms
