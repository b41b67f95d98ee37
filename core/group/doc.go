// Package group manages an entry's membership in the shard map: joining and leaving, failure detection, and takeover of shards.
package group
