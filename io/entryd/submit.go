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
	// answerMargin is the longest time after a job's deadline until its caller is answered.
	answerMargin = 150 * time.Millisecond
	// ownerPause is the time between attempts to reach the owner of a shard.
	ownerPause = 50 * time.Millisecond
	// lookupTime bounds a lookup or a cancellation.
	lookupTime = 30 * time.Second
)

// reply is the HTTP response to a caller; notOwner means that the owner must be looked up again.
type reply struct {
	status     int
	body       []byte
	retryAfter time.Duration
	notOwner   bool
}

func replyOf(a answer.Answer) reply {
	if a.NotOwner {
		return reply{notOwner: true}
	}
	return reply{status: a.Status, body: a.Body(), retryAfter: a.RetryAfter}
}

// callerRequest is a submission, or without a job a lookup or a cancellation, on its way to the owner of its shard.
type callerRequest struct {
	key      jobkey.Key
	job      *job.Job
	cancel   bool
	shard    int
	answerBy time.Time
	gone     <-chan struct{} // closed when the caller's connection is closed; nil if a request goes on without its caller
}

// submit forwards the job to the owner of its shard, whichever entry that is, until the job's deadline.
func (d *Daemon) submit(j *job.Job) reply {
	j.CacheDigest()
	return d.forward(&callerRequest{
		key: j.Key, job: j, shard: shards.Of(j.Key.Team, j.Key.ID, shardCount), answerBy: j.Deadline.Add(answerMargin),
	})
}

// lookup asks the owner for the outcome of a submission; with cancel it also withdraws the tasks that have not started.
// It ends early when gone is closed.
func (d *Daemon) lookup(key jobkey.Key, cancel bool, gone <-chan struct{}) reply {
	return d.forward(&callerRequest{
		key: key, cancel: cancel, shard: shards.Of(key.Team, key.ID, shardCount), answerBy: time.Now().Add(lookupTime), gone: gone,
	})
}

// forward tries the current owner, and again the owner at that time after each change of the map or lost answer.
func (d *Daemon) forward(q *callerRequest) reply {
	for {
		v := d.view.Load()
		if v.shards != nil {
			if r, ok := d.tryOwner(v, q); ok {
				return r
			}
		}
		if !time.Now().Before(q.answerBy) {
			d.countUnanswered(q)
			return q.unanswered()
		}
		select {
		case <-q.gone:
			return q.unanswered()
		case <-v.changed:
		case <-time.After(min(ownerPause, time.Until(q.answerBy))):
		}
	}
}

// unanswered returns the reply when no owner answered in time. It never says "not run", even if this request reached no owner:
// the same submission may have reached one through another entry.
func (q *callerRequest) unanswered() reply {
	return replyOf(answer.Uncertain(q.key.ID, "the shard's owner did not answer before the deadline", "owner-lost"))
}

func (d *Daemon) tryOwner(v *view, q *callerRequest) (reply, bool) {
	ctx, cancel := context.WithDeadline(context.Background(), q.answerBy)
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-v.changed:
			cancel()
		case <-q.gone:
			cancel()
		case <-stop:
		}
	}()
	who := v.shards.Owner(q.shard)
	if who == d.ident() {
		return d.tryLocal(q)
	}
	d.mu.RLock()
	mux := d.peerMuxes[who.Incarnation]
	d.mu.RUnlock()
	if mux == nil {
		return reply{}, false
	}
	return d.tryPeer(ctx, mux, q)
}

// tryLocal submits to this entry's own owner; a change of the map doesn't end the wait, since the owner answers its callers when
// it loses the shard.
func (d *Daemon) tryLocal(q *callerRequest) (reply, bool) {
	got := make(chan answer.Answer, 1)
	if !d.loop.Post(func(now time.Time) {
		d.accept(now, ownerRequest{q.key, q.job, q.cancel, func(a answer.Answer) { got <- a }})
	}) {
		return reply{}, false
	}
	timeout := time.NewTimer(time.Until(q.answerBy))
	defer timeout.Stop()
	select {
	case a := <-got:
		r := replyOf(a)
		return r, !r.notOwner
	case <-q.gone:
		return q.unanswered(), true
	case <-timeout.C:
		return reply{}, false
	}
}

func (d *Daemon) tryPeer(ctx context.Context, mux *bulk.Mux, q *callerRequest) (reply, bool) {
	request := &wire.Submit{Team: q.key.Team, Id: q.key.ID, Cancel: q.cancel}
	if q.job != nil {
		request.Job = codec.EncodeJob(q.job)
	}
	got, err := mux.Request(ctx, &wire.Bulk{Body: &wire.Bulk_Submit{Submit: request}})
	a := got.GetAnswer()
	if err != nil || a == nil || a.NotOwner {
		return reply{}, false
	}
	return reply{
		status: int(a.Status), body: a.Body, retryAfter: time.Duration(a.RetryAfterMs) * time.Millisecond,
	}, true
}

// ownerRequest is a submission, or without a job a lookup or cancellation, at its shard's owner; respond is called exactly once.
type ownerRequest struct {
	key     jobkey.Key
	job     *job.Job
	cancel  bool
	respond func(answer.Answer)
}

// accept passes a request to the owner if this entry owns the shard; the request waits until the shard is recovered.
func (d *Daemon) accept(now time.Time, r ownerRequest) {
	shard := shards.Of(r.key.Team, r.key.ID, shardCount)
	m := d.group.Map()
	switch {
	case m == nil || m.Owner(shard) != d.ident():
		r.respond(answer.OtherOwner())
	case d.owner.HasRecord(r.key):
		d.joinRecord(now, r)
	case !d.group.Holds(uptime.Now(), shard):
		d.park(now, r)
	case r.job == nil:
		d.joinRecord(now, r)
	default:
		d.submitNew(now, r.job, shard, m.Epoch(shard), r.respond)
	}
}

// joinRecord attaches a request to the record of its job, if there is one.
func (d *Daemon) joinRecord(now time.Time, r ownerRequest) {
	switch {
	case r.cancel:
		d.owner.Cancel(now, r.key, r.respond)
	case r.job == nil:
		d.owner.Lookup(r.key, r.respond)
	default:
		d.owner.Submit(now, r.job, 0, 0, nil, true, nil, time.Time{}, r.respond)
	}
}

// submitNew submits a job of which the owner has no record, together with what earlier owners started of it; only a job that
// certainly never started can be refused.
func (d *Daemon) submitNew(now time.Time, j *job.Job, shard int, epoch uint64, w func(answer.Answer)) {
	found, complete, wait := d.lookupEarlier(now, shard, j.Key, j.Issued)
	if wait {
		d.park(now, ownerRequest{key: j.Key, job: j, respond: w})
		return
	}
	var admitted *admit.Request
	var ready time.Time
	if complete && len(found) == 0 {
		r, at, refusal := d.admit(now, j)
		if refusal != nil {
			d.countRefusal(j.Key.Team, j.Kind, refusal.Cause)
			w(*refusal)
			return
		}
		admitted, ready = r, at
	}
	d.owner.Submit(now, j, shard, epoch, found, complete, admitted, ready, w)
}

// park keeps a submission until its shard is recovered; other requests and expired submissions are answered as not owned here.
func (d *Daemon) park(now time.Time, r ownerRequest) {
	if r.job == nil || now.After(r.job.Deadline) {
		r.respond(answer.OtherOwner())
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

// serveSubmit answers another entry's request on its stream.
func (d *Daemon) serveSubmit(request *wire.Submit, s net.Conn) {
	defer s.Close()
	key := jobkey.Key{Team: request.Team, ID: request.Id}
	var j *job.Job
	if request.Job != nil {
		j = codec.DecodeJob(request.Job)
		j.CacheDigest()
	}
	got := make(chan answer.Answer, 1)
	if !d.loop.Post(func(now time.Time) {
		d.accept(now, ownerRequest{key, j, request.Cancel, func(a answer.Answer) { got <- a }})
	}) {
		return
	}
	r := replyOf(<-got)
	_ = frame.Write(s, &wire.Bulk{Body: &wire.Bulk_Answer{Answer: &wire.Answer{
		Status: uint32(r.status), Body: r.body, RetryAfterMs: uint32(r.retryAfter.Milliseconds()), NotOwner: r.notOwner,
	}}})
}
