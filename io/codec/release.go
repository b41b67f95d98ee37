package codec

import (
	"persimmonstage/core/recov"
	"persimmonstage/io/wire"
)

// EncodeRelease returns the protobuf form of the state that an owner hands over.
func EncodeRelease(r *recov.Release) *wire.Release {
	out := &wire.Release{Shard: uint32(r.Shard), Epoch: r.Epoch, Complete: r.Complete}
	for i := range r.Jobs {
		j := &r.Jobs[i]
		out.Jobs = append(out.Jobs, &wire.Sent{Team: j.Team, Id: j.ID, Agents: encodeIdents(j.Agents)})
	}
	return out
}

// DecodeRelease returns the state that an owner hands over from its protobuf form.
func DecodeRelease(r *wire.Release) recov.Release {
	out := recov.Release{Shard: int(r.Shard), Epoch: r.Epoch, Complete: r.Complete}
	for _, j := range r.Jobs {
		out.Jobs = append(out.Jobs, recov.SentJob{Team: j.Team, ID: j.Id, Agents: decodeIdents(j.Agents)})
	}
	return out
}
