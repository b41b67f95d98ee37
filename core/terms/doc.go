// Package terms derives when the work of an entry for a request has to end: a caller that has left, seen by the entry or not, hands the same
// job in again after a known time, and nothing of the first submission may run then.
package terms
