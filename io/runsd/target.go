package runsd

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"persimmonstage/core/runs"
	"persimmonstage/io/loop"
	"persimmonstage/io/uptime"
)

const (
	// startTimeout is how long the answer to a start is waited for before the same start is called again; it doubles with
	// each call. A target on the same host answers within some milliseconds.
	startTimeout = 20 * time.Millisecond
	// startCalls is how often a start is called before the target's list decides.
	startCalls  = 3
	stopTimeout = 60 * time.Millisecond
	// lookWait is how long the target waits for an end before it answers a look.
	lookWait = 120 * time.Millisecond
	// lookTimeout is how much longer the answer to a look is waited for.
	lookTimeout = 30 * time.Millisecond
	// lossWait takes the place of lookWait for lossTime after an answer was lost, as ends aren't heard of meanwhile.
	lossWait = 25 * time.Millisecond
	lossTime = 3 * time.Second
	// lookPause is the time between two looks at a target that doesn't answer, once several answers were lost.
	lookPause = 50 * time.Millisecond
	// lookLosses is from how many lost answers in a row on a target counts as lost.
	lookLosses = 3
	// idlePause is the time between two glances whether there is a target to look at.
	idlePause = time.Second
)

// look asks the target all the time what runs and what has ended.
func (d *Daemon) look(ctx context.Context) {
	losses, lossUntil := 0, time.Time{}
	for ctx.Err() == nil {
		life, ack, until := d.nextLook(ctx)
		if life == nil {
			d.idle(ctx)
			continue
		}
		sent := uptime.Now()
		wait := lookWait
		if sent.Before(lossUntil) {
			wait = lossWait
		}
		bounded, cancel := context.WithTimeout(ctx, wait+lookTimeout)
		listing, err := d.target.Poll(bounded, life, ack, until, wait)
		cancel()
		if err != nil {
			losses++
			lossUntil = uptime.Now().Add(lossTime)
			d.missed(ctx, life, losses, err)
			continue
		}
		if losses >= lookLosses {
			d.log.Info("target back", zap.String("target", life.ID), zap.Int("losses", losses))
		}
		losses = 0
		d.metrics.looks.WithLabelValues("answered").Inc()
		listing.Sent = sent
		d.loop.Post(func(time.Time) { d.listed(life, listing) })
	}
}

// missed notes a look without an answer.
func (d *Daemon) missed(ctx context.Context, life *runs.Instance, losses int, err error) {
	d.metrics.looks.WithLabelValues("failed").Inc()
	if errors.Is(err, syscall.ECONNREFUSED) {
		d.loop.Post(func(time.Time) { d.runs.TargetDown(uptime.Now()) })
	}
	if losses < lookLosses || ctx.Err() != nil {
		return
	}
	if losses == lookLosses {
		d.log.Warn("target lost", zap.String("target", life.ID), zap.String("error", err.Error()))
	}
	loop.Sleep(ctx, lookPause)
}

// nextLook returns what the next look asks; life is nil if there is no target. What the step sets is read only if it has run.
func (d *Daemon) nextLook(ctx context.Context) (life *runs.Instance, ack int64, until time.Time) {
	var next struct {
		life  *runs.Instance
		ack   int64
		until time.Time
	}
	if !d.loop.Call(ctx, func(time.Time) {
		next.life, next.ack = d.runs.Instance(), d.runs.Ack()
		next.until, _ = d.runs.ExtendLease(uptime.Now())
	}) {
		return nil, 0, time.Time{}
	}
	return next.life, next.ack, next.until
}

func (d *Daemon) idle(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, idlePause)
	defer cancel()
	select {
	case <-d.wake:
	case <-bounded.Done():
	}
}

func (d *Daemon) listed(life *runs.Instance, l *runs.Listing) {
	if now := d.runs.Instance(); now == nil || now.ID != life.ID || now.Born != life.Born {
		return
	}
	if l.Born != 0 && l.Born != life.Born {
		d.log.Info("target restarted", zap.String("target", life.ID), zap.Int64("born", l.Born))
		next := *life
		next.Born, next.Sequence = l.Born, 0
		d.runs.Announced(uptime.Now(), &next)
		return
	}
	d.runs.Listed(uptime.Now(), l)
}

// start calls for a start on a goroutine of its own.
func (d *Daemon) start(k runs.Key, o *runs.Order, until time.Time) {
	life := d.runs.Instance()
	go func() {
		answer, reason := d.callStart(life, o, k, until)
		d.metrics.starts.WithLabelValues(answerLabel(answer)).Inc()
		if answer != runs.Accepted {
			d.log.Info("start not accepted", zap.String("task", k.Task), zap.Int("number", k.Number),
				zap.String("answer", answerLabel(answer)), zap.String("reason", reason))
		}
		d.loop.Post(func(time.Time) { d.runs.StartAnswered(uptime.Now(), k, answer, reason) })
	}()
}

// callStart calls for a start until there is an answer: the same start twice is carried out once. A rejection after a lost
// answer may be due to the first call, so it leaves the outcome open.
func (d *Daemon) callStart(life *runs.Instance, o *runs.Order, k runs.Key, until time.Time) (runs.Answer, string) {
	timeout := startTimeout
	reason := ""
	for call := range startCalls {
		ctx, cancel := context.WithTimeout(d.ctx, timeout)
		answer, why := d.target.Start(ctx, life, o, k, until)
		cancel()
		reason = why
		switch {
		case answer == runs.Accepted, answer == runs.Rejected && call == 0:
			return answer, why
		case answer == runs.Rejected:
			return runs.Lost, why
		}
		timeout *= 2
	}
	return runs.Lost, reason
}

func (d *Daemon) stop(k runs.Key) {
	life := d.runs.Instance()
	if life == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(d.ctx, stopTimeout)
		defer cancel()
		answer := d.target.Stop(ctx, life, k)
		d.loop.Post(func(time.Time) { d.runs.StopAnswered(uptime.Now(), k, answer) })
	}()
}

func answerLabel(a runs.Answer) string {
	switch a {
	case runs.Accepted:
		return "accepted"
	case runs.Rejected:
		return "rejected"
	}
	return "lost"
}
