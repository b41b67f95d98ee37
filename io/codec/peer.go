package codec

import (
	"time"

	"persimmonstage/core/group"
	"persimmonstage/core/member"
	"persimmonstage/io/wire"
)

// EncodeMember gives the wire form of an entry's description.
func EncodeMember(m member.Member) *wire.Member {
	return &wire.Member{
		Name: m.Name, Incarnation: m.Incarnation, DataCentre: m.DataCentre,
		Control: m.Control, Bulk: m.Bulk, Http: m.HTTP, Mapped: m.Mapped,
	}
}

// DecodeMember reads the wire form of an entry's description.
func DecodeMember(m *wire.Member) member.Member {
	return member.Member{
		Name: m.GetName(), Incarnation: m.GetIncarnation(), DataCentre: m.GetDataCentre(),
		Control: m.GetControl(), Bulk: m.GetBulk(), HTTP: m.GetHttp(), Mapped: m.GetMapped(),
	}
}

// stampOut gives a stamp in nanoseconds; the zero time is 0.
func stampOut(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func stampIn(ns int64) time.Time {
	if ns == 0 {
		return time.Time{}
	}
	return time.Unix(0, ns)
}

// EncodeHeartbeat gives the wire form of an entry's heartbeat; who it is from and for was said when the connection opened.
func EncodeHeartbeat(b *group.Heartbeat) *wire.PeerBeat {
	return &wire.PeerBeat{Stamp: stampOut(b.Stamp), Echo: stampOut(b.Echo), Version: b.Version, Hears: identsOut(b.Reachable)}
}

// DecodeHeartbeat reads the wire form of a heartbeat on the connection from an entry.
func DecodeHeartbeat(from member.Member, b *wire.PeerBeat) group.Heartbeat {
	return group.Heartbeat{
		From: from, Stamp: stampIn(b.Stamp), Echo: stampIn(b.Echo), Version: b.Version, Reachable: identsIn(b.Hears),
	}
}

// EncodeRoster gives the wire form of an entry's list of agents.
func EncodeRoster(r *group.Roster) *wire.Roster {
	return &wire.Roster{
		From: EncodeMember(r.From), Version: r.Version, Informed: r.Informed, Agents: identsOut(r.Agents),
	}
}

// DecodeRoster reads the wire form of an entry's list of agents.
func DecodeRoster(r *wire.Roster) group.Roster {
	return group.Roster{
		From: DecodeMember(r.From), Version: r.Version, Informed: r.Informed, Agents: identsIn(r.Agents),
	}
}
