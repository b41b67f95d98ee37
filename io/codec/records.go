package codec

import (
	"persimmonstage/core/ledger"
	"persimmonstage/io/wire"
)

// EncodeRecords returns the protobuf form of a ledger's jobs of one shard, without results.
func EncodeRecords(shard int, jobs []ledger.Job) []*wire.Record {
	out := make([]*wire.Record, len(jobs))
	for i := range jobs {
		j := &jobs[i]
		r := &wire.Record{Team: j.Team, Id: j.ID, Digest: append([]byte(nil), j.Digest[:]...), Shard: uint32(shard)}
		for k := range j.Tasks {
			r.Indexes = append(r.Indexes, j.Tasks[k].Index)
		}
		out[i] = r
	}
	return out
}

// DecodeRecords returns the jobs by shard; every task counts as started, since its result is requested separately.
func DecodeRecords(a *wire.RecordsAnswer) map[int][]ledger.Job {
	out := make(map[int][]ledger.Job)
	for _, r := range a.Records {
		j := ledger.Job{Team: r.Team, ID: r.Id, Tasks: make([]ledger.Task, len(r.Indexes))}
		copy(j.Digest[:], r.Digest)
		for i, index := range r.Indexes {
			j.Tasks[i] = ledger.Task{Index: index, State: ledger.Started}
		}
		out[int(r.Shard)] = append(out[int(r.Shard)], j)
	}
	return out
}
