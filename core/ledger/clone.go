package ledger

import (
	"maps"
	"slices"
)

// Clone returns an independent copy that shares only result bytes.
func (l *Ledger) Clone() *Ledger {
	c := *l
	copies := make(map[*record]*record)
	c.shards = make(map[int]map[name]*record, len(l.shards))
	for shard, jobs := range l.shards {
		c.shards[shard] = make(map[name]*record, len(jobs))
		for at, rec := range jobs {
			copies[rec] = rec.clone()
			c.shards[shard][at] = copies[rec]
		}
	}
	c.buckets = maps.Clone(l.buckets)
	if c.buckets == nil {
		c.buckets = make(map[int64][]*record)
	}
	for second, recs := range c.buckets {
		c.buckets[second] = slices.Clone(recs)
		for i, rec := range recs {
			c.buckets[second][i] = copies[rec]
		}
	}
	c.results.items = slices.Clone(l.results.items)
	for i, item := range c.results.items {
		c.results.items[i].rec = item.rec.copied(copies)
	}
	return &c
}

func (r *record) clone() *record {
	c := *r
	c.tasks = slices.Clone(r.tasks)
	return &c
}

// copied returns the copy of a live record, or the record itself if it has expired.
func (r *record) copied(copies map[*record]*record) *record {
	if c, ok := copies[r]; ok {
		return c
	}
	return r
}
