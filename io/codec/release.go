package codec

import (
	"persimmonstage/core/recov"
	"persimmonstage/io/wire"
)

// EncodeRelease gives the wire form of what an owner hands over.
func EncodeRelease(r *recov.Release) *wire.Release {
	out := &wire.Release{Shard: uint32(r.Shard), Epoch: r.Epoch, Complete: r.Complete}
	for i := range r.Jobs {
		j := &r.Jobs[i]
		out.Jobs = append(out.Jobs, &wire.Sent{Team: j.Team, Id: j.ID, Agents: identsOut(j.Agents)})
	}
	return out
}

// DecodeRelease reads the wire form of what an owner hands over.
func DecodeRelease(r *wire.Release) recov.Release {
	out := recov.Release{Shard: int(r.Shard), Epoch: r.Epoch, Complete: r.Complete}
	for _, j := range r.Jobs {
		out.Jobs = append(out.Jobs, recov.SentJob{Team: j.Team, ID: j.Id, Agents: identsIn(j.Agents)})
	}
	return out
}
