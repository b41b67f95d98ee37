// Package recov recovers, for the new owner of a shard, what was started under earlier owners.
package recov
