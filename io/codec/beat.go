package codec

import (
	"time"

	"persimmonstage/core/group"
	"persimmonstage/core/ident"
	"persimmonstage/core/member"
	"persimmonstage/io/wire"
)

func memberOut(m member.Member) *wire.Member {
	return &wire.Member{
		Name: m.Name, Incarnation: m.Incarnation, DataCentre: m.DataCentre,
		Control: m.Control, Bulk: m.Bulk, Http: m.HTTP,
	}
}

func memberIn(m *wire.Member) member.Member {
	return member.Member{
		Name: m.GetName(), Incarnation: m.GetIncarnation(), DataCentre: m.GetDataCentre(),
		Control: m.GetControl(), Bulk: m.GetBulk(), HTTP: m.GetHttp(),
	}
}

func identsOut(ids []ident.Ident) []*wire.Ident {
	out := make([]*wire.Ident, len(ids))
	for i, id := range ids {
		out[i] = &wire.Ident{Name: id.Name, Incarnation: id.Incarnation}
	}
	return out
}

func identsIn(ids []*wire.Ident) []ident.Ident {
	out := make([]ident.Ident, len(ids))
	for i, id := range ids {
		out[i] = ident.Ident{Name: id.GetName(), Incarnation: id.GetIncarnation()}
	}
	return out
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

// BeatOut gives the wire form of an entry's heartbeat.
func BeatOut(b *group.Beat) *wire.PeerBeat {
	return &wire.PeerBeat{
		From: memberOut(b.From), Stamp: stampOut(b.Stamp), Echo: stampOut(b.Echo),
		Version: b.Version, Hears: identsOut(b.Hears), To: &wire.Ident{Name: b.To.Name, Incarnation: b.To.Incarnation},
	}
}

// BeatIn reads the wire form of an entry's heartbeat.
func BeatIn(b *wire.PeerBeat) group.Beat {
	return group.Beat{
		From: memberIn(b.From), Stamp: stampIn(b.Stamp), Echo: stampIn(b.Echo),
		Version: b.Version, Hears: identsIn(b.Hears),
		To: ident.Ident{Name: b.To.GetName(), Incarnation: b.To.GetIncarnation()},
	}
}

// RosterOut gives the wire form of an entry's list of agents.
func RosterOut(r *group.Roster) *wire.Roster {
	return &wire.Roster{
		From: memberOut(r.From), Version: r.Version, Informed: r.Informed, Agents: identsOut(r.Agents),
	}
}

// RosterIn reads the wire form of an entry's list of agents.
func RosterIn(r *wire.Roster) group.Roster {
	return group.Roster{
		From: memberIn(r.From), Version: r.Version, Informed: r.Informed, Agents: identsIn(r.Agents),
	}
}
