// Package entryd is the entry process: callers' and operators' HTTP, the submissions of the shards that it owns, and
// the connections of agents and of the other entries.
//
// Data flow: a request is decoded on its own goroutine; the entry that owns its shard, this one or another over a bulk
// stream, steps core/owner on its loop; orders leave through the agents' outboxes; results come back on the agents' work
// streams, and the last of them answers every caller that waits for the job.
package entryd
