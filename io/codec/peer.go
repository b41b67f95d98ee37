package codec

import (
	"time"

	"persimmonstage/core/group"
	"persimmonstage/core/member"
	"persimmonstage/io/wire"
)

// EncodeMember returns the protobuf form of an entry's description.
func EncodeMember(m member.Member) *wire.Member {
	return &wire.Member{
		Name: m.Name, Incarnation: m.Incarnation, DataCentre: m.DataCentre,
		Control: m.Control, Bulk: m.Bulk, Http: m.HTTP, Mapped: m.Mapped,
	}
}

// DecodeMember returns the description of an entry from its protobuf form.
func DecodeMember(m *wire.Member) member.Member {
	return member.Member{
		Name: m.GetName(), Incarnation: m.GetIncarnation(), DataCentre: m.GetDataCentre(),
		Control: m.GetControl(), Bulk: m.GetBulk(), HTTP: m.GetHttp(), Mapped: m.GetMapped(),
	}
}

// encodeTime returns a time in nanoseconds; the zero time is 0.
func encodeTime(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func decodeTime(ns int64) time.Time {
	if ns == 0 {
		return time.Time{}
	}
	return time.Unix(0, ns)
}

// EncodeHeartbeat returns the protobuf form of an entry's heartbeat; its sender and receiver follow from the connection's hello.
func EncodeHeartbeat(b *group.Heartbeat) *wire.PeerBeat {
	return &wire.PeerBeat{Stamp: encodeTime(b.Stamp), Echo: encodeTime(b.Echo), Version: b.Version, Hears: encodeIdents(b.Reachable)}
}

// DecodeHeartbeat returns the heartbeat that was received on the connection of the entry from.
func DecodeHeartbeat(from member.Member, b *wire.PeerBeat) group.Heartbeat {
	return group.Heartbeat{
		From: from, Stamp: decodeTime(b.Stamp), Echo: decodeTime(b.Echo), Version: b.Version, Reachable: decodeIdents(b.Hears),
	}
}

// EncodeRoster returns the protobuf form of an entry's list of agents.
func EncodeRoster(r *group.Roster) *wire.Roster {
	return &wire.Roster{
		From: EncodeMember(r.From), Version: r.Version, Informed: r.Informed, Agents: encodeIdents(r.Agents),
	}
}

// DecodeRoster returns an entry's list of agents from its protobuf form.
func DecodeRoster(r *wire.Roster) group.Roster {
	return group.Roster{
		From: DecodeMember(r.From), Version: r.Version, Informed: r.Informed, Agents: decodeIdents(r.Agents),
	}
}
