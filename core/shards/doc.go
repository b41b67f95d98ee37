// Package shards holds the shard map: which entry owns which shard of the submission keys, under which epoch.
package shards
