package entryd

import (
	"context"
	"net"
	"time"

	"persimmonstage/core/admit"
	"persimmonstage/core/answer"
	"persimmonstage/core/job"
	"persimmonstage/core/jobkey"
	"persimmonstage/core/shards"
	"persimmonstage/io/bulk"
	"persimmonstage/io/codec"
	"persimmonstage/io/frame"
	"persimmonstage/io/uptime"
	"persimmonstage/io/wire"
)

const (
	// answerMargin is how long after a job's deadline its caller is answered at the latest.
	answerMargin = 150 * time.Millisecond
	// ownerPause is the time between tries to reach the owner of a shard.
	ownerPause = 50 * time.Millisecond
	// lookupTime bounds a request that asks without submitting.
	lookupTime = 30 * time.Second
)

// reply is an answer as it goes to a caller: a status, a body, and when to come again.
type reply struct {
	status     int
	body       []byte
	retryAfter time.Duration
	elsewhere  bool
}

func replyOf(a answer.Answer) reply {
	if a.NotOwner {
		return reply{elsewhere: true}
	}
	return reply{status: a.Status, body: a.Body(), retryAfter: a.RetryAfter}
}

// question is a submission, or with no job a lookup or a cancellation, on its way to the owner of its shard.
type question struct {
	key    jobkey.Key
	job    *job.Job
	cancel bool
	shard  int
	before time.Time
}

// submit asks the owner of the job's shard, whichever entry that is, until the job's deadline.
func (d *Daemon) submit(j *job.Job) reply {
	j.CacheDigest()
	return d.ask(&question{
		key: j.Key, job: j, shard: shards.Of(j.Key.Team, j.Key.ID, shardCount), before: j.Deadline.Add(answerMargin),
	})
}

// lookup asks the owner for what became of a submission, and withdraws what has not started of it if cancel is set.
func (d *Daemon) lookup(key jobkey.Key, cancel bool) reply {
	return d.ask(&question{
		key: key, cancel: cancel, shard: shards.Of(key.Team, key.ID, shardCount), before: time.Now().Add(lookupTime),
	})
}

// ask tries the present owner, and after each change of the map or lost answer the owner of then.
func (d *Daemon) ask(q *question) reply {
	for {
		v := d.view.Load()
		if v.shards != nil {
			if r, ok := d.askOwner(v, q); ok {
				return r
			}
		}
		if !time.Now().Before(q.before) {
			d.countUnanswered(q)
			return q.unanswered()
		}
		select {
		case <-v.changed:
		case <-time.After(min(ownerPause, time.Until(q.before))):
		}
	}
}

// unanswered gives the answer when no owner gave one in time. It never says "not run", even if this request reached no
// owner: the same submission may have reached one by another entry.
func (q *question) unanswered() reply {
	return replyOf(answer.Uncertain(q.key.ID, "the shard's owner did not answer before the deadline", "owner-lost"))
}

func (d *Daemon) askOwner(v *view, q *question) (reply, bool) {
	ctx, cancel := context.WithDeadline(context.Background(), q.before)
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-v.changed:
			cancel()
		case <-stop:
		}
	}()
	who := v.shards.Owner(q.shard)
	if who == d.ident() {
		return d.askSelf(q)
	}
	d.mu.RLock()
	mux := d.peers[who.Incarnation]
	d.mu.RUnlock()
	if mux == nil {
		return reply{}, false
	}
	return d.askPeer(ctx, mux, q)
}

// askSelf submits to this entry's own owner; a change of the map doesn't end the wait, as the owner itself tells its
// callers when it loses the shard.
func (d *Daemon) askSelf(q *question) (reply, bool) {
	got := make(chan answer.Answer, 1)
	if !d.loop.Post(func(now time.Time) {
		d.accept(now, request{q.key, q.job, q.cancel, func(a answer.Answer) { got <- a }})
	}) {
		return reply{}, false
	}
	timeout := time.NewTimer(time.Until(q.before))
	defer timeout.Stop()
	select {
	case a := <-got:
		r := replyOf(a)
		return r, !r.elsewhere
	case <-timeout.C:
		return reply{}, false
	}
}

func (d *Daemon) askPeer(ctx context.Context, mux *bulk.Mux, q *question) (reply, bool) {
	ask := &wire.Submit{Team: q.key.Team, Id: q.key.ID, Cancel: q.cancel}
	if q.job != nil {
		ask.Job = codec.JobOut(q.job)
	}
	got, err := mux.Ask(ctx, &wire.Bulk{Body: &wire.Bulk_Submit{Submit: ask}})
	a := got.GetAnswer()
	if err != nil || a == nil || a.NotOwner {
		return reply{}, false
	}
	return reply{
		status: int(a.Status), body: a.Body, retryAfter: time.Duration(a.RetryAfterMs) * time.Millisecond,
	}, true
}

// request is a submission, or with no job a lookup or a cancellation, at the owner of its shard; w is called exactly once.
type request struct {
	key    jobkey.Key
	job    *job.Job
	cancel bool
	w      func(answer.Answer)
}

// accept steps the owner with a request if this entry owns the shard; until the shard is recovered the request waits.
func (d *Daemon) accept(now time.Time, r request) {
	shard := shards.Of(r.key.Team, r.key.ID, shardCount)
	m := d.group.Map()
	switch {
	case m == nil || m.Owner(shard) != d.ident():
		r.w(answer.Elsewhere())
	case d.owner.HasRecord(r.key):
		d.known(now, r)
	case !d.group.Holds(uptime.Now(), shard):
		d.park(now, r)
	case r.job == nil:
		d.known(now, r)
	default:
		d.submitNew(now, r.job, shard, m.Epoch(shard), r.w)
	}
}

// known joins a request to the record of its job, if there is one.
func (d *Daemon) known(now time.Time, r request) {
	switch {
	case r.cancel:
		d.owner.Cancel(now, r.key, r.w)
	case r.job == nil:
		d.owner.Lookup(r.key, r.w)
	default:
		d.owner.Submit(now, r.job, 0, 0, nil, true, nil, time.Time{}, r.w)
	}
}

// submitNew gives the owner a job that it has no record of, with what earlier owners did of it; only a job that is
// certainly never started can be refused.
func (d *Daemon) submitNew(now time.Time, j *job.Job, shard int, epoch uint64, w func(answer.Answer)) {
	found, whole, wait := d.earlier(now, shard, j.Key, j.Issued)
	if wait {
		d.park(now, request{key: j.Key, job: j, w: w})
		return
	}
	var admitted *admit.Request
	var ready time.Time
	if whole && len(found) == 0 {
		r, at, refusal := d.admit(now, j)
		if refusal != nil {
			d.countRefusal(j.Key.Team, j.Kind, refusal.Cause)
			w(*refusal)
			return
		}
		admitted, ready = r, at
	}
	d.owner.Submit(now, j, shard, epoch, found, whole, admitted, ready, w)
}

// park keeps a request until its shard is recovered; past its deadline it is sent back.
func (d *Daemon) park(now time.Time, r request) {
	if r.job == nil || now.After(r.job.Deadline) {
		r.w(answer.Elsewhere())
		return
	}
	d.parked = append(d.parked, r)
}

func (d *Daemon) unpark(now time.Time) {
	list := d.parked
	d.parked = nil
	for _, r := range list {
		d.accept(now, r)
	}
}

// forwarded answers another entry's request on its stream.
func (d *Daemon) forwarded(ask *wire.Submit, s net.Conn) {
	defer s.Close()
	key := jobkey.Key{Team: ask.Team, ID: ask.Id}
	var j *job.Job
	if ask.Job != nil {
		j = codec.JobIn(ask.Job)
		j.CacheDigest()
	}
	got := make(chan answer.Answer, 1)
	if !d.loop.Post(func(now time.Time) { d.accept(now, request{key, j, ask.Cancel, func(a answer.Answer) { got <- a }}) }) {
		return
	}
	r := replyOf(<-got)
	_ = frame.Write(s, &wire.Bulk{Body: &wire.Bulk_Answer{Answer: &wire.Answer{
		Status: uint32(r.status), Body: r.body, RetryAfterMs: uint32(r.retryAfter.Milliseconds()), NotOwner: r.elsewhere,
	}}})
}
