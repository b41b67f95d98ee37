// Package group decides at an entry who the entries are: membership, suspicion of the dead, takeover of their shards.
package group
