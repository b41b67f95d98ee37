// Package entryd is the entry process: it serves HTTP to callers and operators, owns the submissions of its shards, and holds
// the connections to agents and to the other entries.
//
// Data flow: a request is decoded on its own goroutine and passed to the entry that owns its shard, which may be another one,
// reached over a bulk stream. The owner steps core/owner on its loop; orders leave through the agents' outboxes, and results
// come back on the agents' work streams. The last result answers every caller that waits for the job.
package entryd
