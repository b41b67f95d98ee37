package entryd

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"

	"persimmonstage/core/ident"
	"persimmonstage/core/jobkey"
	"persimmonstage/core/recov"
	"persimmonstage/io/codec"
	"persimmonstage/io/frame"
	"persimmonstage/io/wire"
)

// releaseTries is how often a release is sent; without it the next owner waits out the grace period and asks every agent.
const releaseTries = 3

// sendReleases hands shards that this entry no longer owns to their next owner; it starts nothing more for them.
func (d *Daemon) sendReleases(next ident.Ident, list []*wire.Release) {
	msg := &wire.Bulk{Body: &wire.Bulk_Releases{Releases: &wire.Releases{Shards: list}}}
	for range releaseTries {
		d.mu.RLock()
		mux := d.peerMuxes[next.Incarnation]
		d.mu.RUnlock()
		if mux != nil {
			ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
			_, err := mux.Request(ctx, msg)
			cancel()
			if err == nil {
				d.log.Info("shards released", zap.String("entry", next.Name), zap.Int("shards", len(list)))
				return
			}
		}
		time.Sleep(redialPause)
	}
	d.log.Warn("shards not released", zap.String("entry", next.Name), zap.Int("shards", len(list)))
}

// releaseOf builds the release of a shard that this entry owned under epoch.
func (d *Daemon) releaseOf(shard int, epoch uint64) *wire.Release {
	out := recov.Release{Shard: shard, Epoch: epoch}
	if r := d.recoveries[shard]; r != nil {
		out.Complete = r.Served()
		out.Jobs = r.SentJobs()
	}
	d.owner.EachSentJob(shard, func(key jobkey.Key, agents []ident.Ident) {
		out.Jobs = append(out.Jobs, recov.SentJob{Team: key.Team, ID: key.ID, Agents: agents})
	})
	return codec.EncodeRelease(&out)
}

// serveReleases stores the releases of previous owners; a release may arrive before the map that it belongs to.
func (d *Daemon) serveReleases(m *wire.Releases, s net.Conn) {
	defer s.Close()
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	ran := d.loop.Call(ctx, func(time.Time) {
		for _, w := range m.Shards {
			r := codec.DecodeRelease(w)
			d.releases[r.Shard] = r
			d.applyRelease(r.Shard)
		}
	})
	if ran {
		_ = frame.Write(s, &wire.Bulk{Body: &wire.Bulk_Released{Released: &wire.Released{}}})
	}
}

// applyRelease passes a stored release to its shard's recovery.
func (d *Daemon) applyRelease(shard int) {
	rel, ok := d.releases[shard]
	r := d.recoveries[shard]
	if !ok || r == nil || rel.Epoch >= r.Config().Epoch {
		return
	}
	delete(d.releases, shard)
	r.Release(rel)
	d.nextRecovery = time.Time{}
}
