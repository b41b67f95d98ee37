package entryd

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"persimmonstage/core/cause"
	"persimmonstage/core/group"
	"persimmonstage/core/ident"
	"persimmonstage/core/shards"
	"persimmonstage/io/logcl"
	"persimmonstage/io/loop"
	"persimmonstage/io/uptime"
	"persimmonstage/io/wire"
)

const (
	// mapStream is the stream of the platform's log that holds the versions of the shard map.
	mapStream     = "shard-map"
	readBatch     = 256
	readWait      = 200 * time.Millisecond
	readPause     = 200 * time.Millisecond
	appendTimeout = 3 * time.Second
	readTimeLimit = 3 * time.Second
)

// follow reads the map's stream from its oldest record and posts each record to the loop.
func (d *Daemon) follow(ctx context.Context) {
	var from int64
	caughtUp := false
	for ctx.Err() == nil {
		wanted := d.readToEndWanted.Load()
		next, end, err := d.readRecords(ctx, from)
		if err != nil {
			from = d.afterReadError(ctx, from, err)
			continue
		}
		from = next
		if from < end {
			continue
		}
		if !caughtUp {
			caughtUp = true
			d.loop.Post(func(time.Time) { d.group.CaughtUp(uptime.Now()) })
		}
		if wanted > d.readToEndDone {
			d.readToEndDone = wanted
			d.loop.Post(func(time.Time) { d.group.ReachedEnd() })
		}
	}
}

// readRecords posts records from the given offset and returns the next offset to read and the end of the stream.
func (d *Daemon) readRecords(ctx context.Context, from int64) (next, end int64, err error) {
	bounded, cancel := context.WithTimeout(ctx, readTimeLimit)
	defer cancel()
	records, end, err := d.logs.Read(bounded, mapStream, from, readBatch, readWait)
	if err != nil {
		return from, end, err
	}
	d.logUp.Store(true)
	next = from
	for _, r := range records {
		next = r.Offset() + 1
		d.loop.Post(func(time.Time) { d.handleMapRecord(r) })
	}
	if len(records) == 0 {
		next = end
	}
	return next, end, nil
}

func (d *Daemon) handleMapRecord(r logcl.Record) {
	if err := d.group.ReadRecord(uptime.Now(), r.Offset(), r.Data()); err != nil {
		d.log.Warn("invalid map record", zap.Int64("offset", r.Offset()), zap.Error(err))
	}
	d.applyMap()
}

func (d *Daemon) afterReadError(ctx context.Context, from int64, err error) int64 {
	var gone *logcl.TruncatedError
	if errors.As(err, &gone) {
		return gone.First()
	}
	if d.logUp.Swap(false) && ctx.Err() == nil {
		d.log.Warn("log not readable", zap.Error(err))
	}
	loop.Sleep(ctx, readPause)
	return from
}

// tickGroup steps the membership and carries out its decisions.
func (d *Daemon) tickGroup() {
	now := uptime.Now()
	fx := d.group.Tick(now, uuid.NewString)
	for _, s := range fx.Heartbeats {
		d.sendHeartbeat(s)
	}
	if fx.Append != nil {
		go d.appendMap(*fx.Append)
	}
	if fx.ReadToEnd {
		d.readToEndWanted.Add(1)
	}
	for _, who := range fx.RosterRequests {
		d.requestRoster(who)
	}
	d.applyMap()
}

// appendMap appends a proposed map to the log; success is seen when the record is read back. If the answer is lost, the group
// finds out whether the record was written.
func (d *Daemon) appendMap(a group.Append) {
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	_, err := d.logs.Append(ctx, mapStream, a.Record)
	var outage *logcl.OutageError
	switch {
	case err == nil:
	case errors.As(err, &outage) && outage.MaybeApplied():
		d.log.Warn("map append without answer", zap.Error(err))
		d.loop.Post(func(time.Time) { d.group.AppendLost(a.ID) })
	default:
		d.log.Warn("map append refused", zap.Error(err))
		d.loop.Post(func(time.Time) { d.group.AppendRefused(a.ID) })
	}
}

// applyMap puts a newer map into force: it drops the shards that were lost and recovers those that were gained.
func (d *Daemon) applyMap() {
	m := d.group.Map()
	old := d.view.Load().shards
	if m == nil || old != nil && m.Version() <= old.Version() {
		return
	}
	d.setView(m)
	d.recordEntryLosses(old, m)
	d.applyRules(d.rules.Load(), d.rules.Load())
	handed := make(map[ident.Ident][]*wire.Release)
	for s := range m.Shards() {
		was := old != nil && old.Owner(s) == d.ident()
		is := m.Owner(s) == d.ident()
		if !was || is && old.Epoch(s) == m.Epoch(s) {
			continue
		}
		if next := m.Owner(s); !is {
			handed[next] = append(handed[next], d.releaseOf(s, old.Epoch(s)))
		}
		d.owner.DropShard(s)
		delete(d.recoveries, s)
	}
	for next, list := range handed {
		go d.sendReleases(next, list)
	}
	d.startRecoveries()
}

// recordEntryLosses records entries that the new map no longer lists as lost in the account of the day. An entry that is still
// alive left on purpose: it keeps answering until its work is handed over. An entry that wasn't a member itself before can't
// distinguish the two, since it has received no heartbeats.
func (d *Daemon) recordEntryLosses(old, m *shards.Map) {
	if old == nil || !old.Has(d.ident()) {
		return
	}
	alive := d.group.Alive(uptime.Now())
	for _, who := range old.Members() {
		if _, stays := m.Find(who.Name); !stays && !slices.Contains(alive, who.Ident()) {
			d.recordEvent(time.Now(), cause.EntryLost, who.Name)
		}
	}
}

// fetchMap fetches a peer's newer map.
func (d *Daemon) fetchMap(p *peer) {
	mux := p.mux
	if mux == nil {
		return
	}
	go d.adoptMapFrom(mux)
}
