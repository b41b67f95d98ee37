package shards

import "github.com/cespare/xxhash/v2"

// Of returns the shard of a submission key among n shards.
func Of(team, id string, n int) int {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(team)
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(id)
	return int(d.Sum64() % uint64(n))
}
