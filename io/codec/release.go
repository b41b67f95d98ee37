package codec

import (
	"persimmonstage/core/recov"
	"persimmonstage/io/wire"
)

// ReleaseOut gives the wire form of what an owner hands over.
func ReleaseOut(r *recov.Release) *wire.Release {
	out := &wire.Release{Shard: uint32(r.Shard), Epoch: r.Epoch, Complete: r.Complete}
	for i := range r.Jobs {
		j := &r.Jobs[i]
		out.Jobs = append(out.Jobs, &wire.Sent{Team: j.Team, Id: j.ID, Agents: identsOut(j.Agents)})
	}
	return out
}

// ReleaseIn reads the wire form of what an owner hands over.
func ReleaseIn(r *wire.Release) recov.Release {
	out := recov.Release{Shard: int(r.Shard), Epoch: r.Epoch, Complete: r.Complete}
	for _, j := range r.Jobs {
		out.Jobs = append(out.Jobs, recov.SentJob{Team: j.Team, ID: j.Id, Agents: identsIn(j.Agents)})
	}
	return out
}
