package entryd

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"persimmonstage/core/ident"
	"persimmonstage/core/job"
	"persimmonstage/core/jobkey"
	"persimmonstage/core/prior"
	"persimmonstage/core/recov"
	"persimmonstage/io/codec"
	"persimmonstage/io/uptime"
	"persimmonstage/io/wire"
)

const (
	recordsTimeout = 2 * time.Second
	recordsPause   = 100 * time.Millisecond
)

// startRecoveries begins the recovery of every shard that this entry has newly come to own.
func (d *Daemon) startRecoveries() {
	for _, g := range d.group.Gains() {
		r := d.recoveries[g.Shard]
		if r != nil && r.Config().Epoch == g.Epoch {
			continue
		}
		d.recoveries[g.Shard] = recov.New(recov.Config{
			Shard: g.Shard, Epoch: g.Epoch, Version: g.Version, First: g.First, Skew: d.limits.Load().IssuedSkew,
		})
		d.applyRelease(g.Shard)
		d.nextRecovery = time.Time{}
	}
}

// tickRecoveries updates each recovery's fence and agents, and requests the records that are still missing.
func (d *Daemon) tickRecoveries(now time.Time) {
	if now.Before(d.nextRecovery) {
		return
	}
	d.nextRecovery = now.Add(recordsPause)
	requests := make(map[ident.Ident][]uint32)
	for s, r := range d.recoveries {
		if d.settled(r) {
			r.Settle()
		}
		if answered, all := r.Answered(); r.Settled() || r.Fenced() && r.Served() && answered == all {
			continue
		}
		d.fenceRecovery(now, r)
		for _, agent := range r.Unanswered() {
			requests[agent] = append(requests[agent], uint32(s))
		}
	}
	for agent, list := range requests {
		d.requestRecords(now, agent, list)
	}
}

// settled reports whether the records of everything that earlier owners accepted have expired.
func (d *Daemon) settled(r *recov.Recovery) bool {
	if r.Settled() {
		return false
	}
	now := uptime.Now()
	at, fenced := d.group.Fenced(now, r.Config().Version)
	return fenced && now.Sub(at) > recordLifetime
}

// fenceRecovery sets the wall-clock time since which no agent obeys an earlier owner, and the agents to ask.
func (d *Daemon) fenceRecovery(now time.Time, r *recov.Recovery) {
	version := r.Config().Version
	if !r.Fenced() {
		if at, fenced := d.group.Fenced(uptime.Now(), version); fenced {
			r.SetFenced(now.Add(-uptime.Now().Sub(at)))
		}
	}
	agents, complete := d.group.Agents(version)
	r.AddAgents(agents, complete)
}

// requestRecords requests an agent's records of what it started for some shards, one request at a time.
func (d *Daemon) requestRecords(now time.Time, agent ident.Ident, list []uint32) {
	l := d.agents.byIncarnation[agent.Incarnation]
	if l == nil || l.mux == nil || now.Before(l.nextRecordsRequest) {
		return
	}
	m := d.view.Load().shards
	data, err := json.Marshal(m)
	if err != nil {
		d.log.Error("map not encoded", zap.Error(err))
		return
	}
	l.nextRecordsRequest = now.Add(recordsTimeout)
	mux := l.mux
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), recordsTimeout)
		defer cancel()
		got, err := mux.Request(ctx, &wire.Bulk{Body: &wire.Bulk_Records{Records: &wire.Records{
			Shards: list, Map: data, MapVersion: m.Version(),
		}}})
		d.loop.Post(func(now time.Time) {
			l.nextRecordsRequest = now.Add(recordsPause)
			if a := got.GetRecordsAnswer(); err == nil && a != nil {
				d.addRecords(agent, list, a)
			}
		})
	}()
}

func (d *Daemon) addRecords(agent ident.Ident, list []uint32, a *wire.RecordsAnswer) {
	jobs := codec.DecodeRecords(a)
	for _, s := range list {
		if r := d.recoveries[int(s)]; r != nil {
			r.AddAnswer(agent, a.MapVersion, jobs[int(s)])
		}
	}
}

// lookupEarlier returns what earlier owners of a shard started of a job; wait means that it is not known yet.
func (d *Daemon) lookupEarlier(
	now time.Time, shard int, key jobkey.Key, issued time.Time,
) (found []prior.Start, complete, wait bool) {
	r := d.recoveries[shard]
	if r == nil {
		return nil, false, true
	}
	out := r.Lookup(now, key.Team, key.ID, issued)
	switch out.Verdict {
	case recov.NeverStarted:
		return nil, true, false
	case recov.Found:
		return pastStarts(&out), out.Complete, false
	case recov.Unknown:
		return nil, false, false
	}
	return nil, false, true
}

func pastStarts(out *recov.Outcome) []prior.Start {
	found := make([]prior.Start, len(out.Tasks))
	for i, t := range out.Tasks {
		found[i] = prior.Start{Agent: t.Agent, Index: int(t.Index), Digest: [job.DigestBytes]byte(out.Digest)}
	}
	return found
}
