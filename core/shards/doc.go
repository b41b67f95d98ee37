// Package shards implements the shard map, which assigns each shard of the submission keys an owning entry and an epoch.
package shards
