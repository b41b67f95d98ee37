// Package fence checks, at an agent, whether the sender of a start still owns the shard.
package fence
