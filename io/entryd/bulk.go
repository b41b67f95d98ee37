package entryd

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"go.uber.org/zap"

	"persimmonstage/core/group"
	"persimmonstage/io/bulk"
	"persimmonstage/io/codec"
	"persimmonstage/io/frame"
	"persimmonstage/io/wire"
)

// serve handles a stream opened by an agent or another entry.
func (d *Daemon) serve(m *bulk.Mux, first *wire.Bulk, s net.Conn) {
	switch b := first.Body.(type) {
	case *wire.Bulk_Hello:
		if b.Hello.Version != wire.Version || b.Hello.Role != wire.Role_ROLE_AGENT {
			d.log.Warn("bulk stream refused", zap.String("reason", "unknown version or role"), zap.String("peer", b.Hello.Name))
			m.Close()
			return
		}
		d.workStream(m, b.Hello, s)
	case *wire.Bulk_Submit:
		d.serveSubmit(b.Submit, s)
	case *wire.Bulk_Fetch:
		d.serveFetch(b.Fetch, s)
	case *wire.Bulk_Releases:
		d.serveReleases(b.Releases, s)
	case *wire.Bulk_RosterAsk:
		d.serveRoster(s)
	default:
		d.log.Warn("bulk stream refused", zap.String("reason", "unexpected message"))
		_ = s.Close()
	}
}

// serveFetch sends the map or the configuration in force here; version 0 means none yet.
func (d *Daemon) serveFetch(request *wire.Fetch, s net.Conn) {
	defer s.Close()
	answer := &wire.Fetched{}
	switch request.What {
	case bulk.FetchMap:
		if m := d.view.Load().shards; m != nil {
			data, err := json.Marshal(m)
			if err != nil {
				d.log.Error("map not encoded", zap.Error(err))
				return
			}
			answer.Version, answer.Data = m.Version(), data
		}
	case bulk.FetchConfig:
		d.serveConfig(request, s)
		return
	default:
		d.log.Warn("bulk stream refused", zap.String("reason", "unknown fetch"), zap.String("what", request.What))
		return
	}
	_ = frame.Write(s, &wire.Bulk{Body: &wire.Bulk_Fetched{Fetched: answer}})
}

// serveRoster sends the list of agents whose heartbeats this entry has answered.
func (d *Daemon) serveRoster(s net.Conn) {
	defer s.Close()
	var r group.Roster
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	if !d.loop.Call(ctx, func(time.Time) { r = d.group.Roster() }) {
		return
	}
	_ = frame.Write(s, &wire.Bulk{Body: &wire.Bulk_Roster{Roster: codec.EncodeRoster(&r)}})
}

func (d *Daemon) mapVersion() int64 {
	if m := d.view.Load().shards; m != nil {
		return m.Version()
	}
	return 0
}
