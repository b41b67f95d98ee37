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
	// mapStream is the stream of the platform's log that holds the shard map's versions.
	mapStream     = "shard-map"
	readBatch     = 256
	readWait      = 200 * time.Millisecond
	readPause     = 200 * time.Millisecond
	appendTimeout = 3 * time.Second
	readTimeLimit = 3 * time.Second
)

// follow reads the map's stream from its oldest record on and posts each record to the loop.
func (d *Daemon) follow(ctx context.Context) {
	var from int64
	caughtUp := false
	for ctx.Err() == nil {
		wanted := d.findEnd.Load()
		next, end, err := d.readSome(ctx, from)
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
		if wanted > d.foundEnd {
			d.foundEnd = wanted
			d.loop.Post(func(time.Time) { d.group.ReachedEnd() })
		}
	}
}

// readSome posts the records from an offset on and gives the next offset to read and the end of the stream.
func (d *Daemon) readSome(ctx context.Context, from int64) (next, end int64, err error) {
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
		d.loop.Post(func(time.Time) { d.mapRecord(r) })
	}
	if len(records) == 0 {
		next = end
	}
	return next, end, nil
}

func (d *Daemon) mapRecord(r logcl.Record) {
	if err := d.group.ReadRecord(uptime.Now(), r.Offset(), r.Data()); err != nil {
		d.log.Warn("map record void", zap.Int64("offset", r.Offset()), zap.Error(err))
	}
	d.regroup()
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

// tickGroup steps the membership and carries out what it decides.
func (d *Daemon) tickGroup() {
	now := uptime.Now()
	fx := d.group.Tick(now, uuid.NewString)
	for _, s := range fx.Heartbeats {
		d.sendBeat(s)
	}
	if fx.Append != nil {
		go d.append(*fx.Append)
	}
	if fx.ReadToEnd {
		d.findEnd.Add(1)
	}
	for _, who := range fx.RosterRequests {
		d.askRoster(who)
	}
	d.regroup()
}

// append writes a proposed map; what became of it is told by the record itself, or found out when the answer is lost.
func (d *Daemon) append(a group.Append) {
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

// regroup puts a newer map in force: shards that were lost are disowned, shards that were gained are recovered.
func (d *Daemon) regroup() {
	m := d.group.Map()
	old := d.view.Load().shards
	if m == nil || old != nil && m.Version() <= old.Version() {
		return
	}
	d.adopt(m)
	d.noteMembers(old, m)
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
		go d.release(next, list)
	}
	d.gain()
}

// noteMembers enters the entries that a map no longer lists into the account of the day. One that is still heard left by
// itself: it goes on answering until its work is in other hands. Who wasn't a member yet has heard nobody and can't tell.
func (d *Daemon) noteMembers(old, m *shards.Map) {
	if old == nil || !old.Has(d.ident()) {
		return
	}
	alive := d.group.Alive(uptime.Now())
	for _, who := range old.Members() {
		if _, stays := m.Find(who.Name); !stays && !slices.Contains(alive, who.Ident()) {
			d.note(time.Now(), cause.EntryLost, who.Name)
		}
	}
}

// fetchMap asks a peer for the newer map that it carries.
func (d *Daemon) fetchMap(p *peer) {
	mux := p.mux
	if mux == nil {
		return
	}
	go d.learnFrom(mux)
}
