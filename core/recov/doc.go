// Package recov recovers the starts of a shard's earlier owners for its new owner.
package recov
