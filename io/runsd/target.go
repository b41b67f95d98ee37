package runsd

import (
	"context"
	"time"

	"go.uber.org/zap"

	"persimmonstage/core/runs"
	"persimmonstage/io/loop"
	"persimmonstage/io/uptime"
)

const (
	// startTimeout is how long the answer to a start is waited for before the target's list decides.
	startTimeout = 250 * time.Millisecond
	stopTimeout  = 150 * time.Millisecond
	// lookWait is how long the target waits for an end before it answers a look.
	lookWait = 150 * time.Millisecond
	// lookTimeout is how much longer the answer to a look is waited for.
	lookTimeout = 150 * time.Millisecond
	// lookPause is the time between two looks at a target that doesn't answer.
	lookPause = 50 * time.Millisecond
	// idlePause is the time between two glances whether there is a target to look at.
	idlePause = time.Second
)

// look asks the target all the time what runs and what has ended.
func (d *Daemon) look(ctx context.Context) {
	failing := false
	for ctx.Err() == nil {
		life, ack, until := d.nextLook(ctx)
		if life == nil {
			d.idle(ctx)
			continue
		}
		sent := uptime.Now()
		bounded, cancel := context.WithTimeout(ctx, lookWait+lookTimeout)
		listing, err := d.target.Look(bounded, life, ack, until, lookWait)
		cancel()
		if err != nil {
			d.metrics.looks.WithLabelValues("failed").Inc()
			if !failing && ctx.Err() == nil {
				d.log.Warn("target lost", zap.String("target", life.ID), zap.Error(err))
			}
			failing = true
			loop.Sleep(ctx, lookPause)
			continue
		}
		if failing {
			d.log.Info("target back", zap.String("target", life.ID))
		}
		failing = false
		d.metrics.looks.WithLabelValues("answered").Inc()
		listing.Sent, listing.Extended = sent, !until.IsZero()
		d.loop.Post(func(time.Time) { d.listed(life, listing) })
	}
}

func (d *Daemon) nextLook(ctx context.Context) (life *runs.Life, ack int64, until time.Time) {
	d.loop.Call(ctx, func(time.Time) {
		life, ack = d.runs.Life(), d.runs.Ack()
		until, _ = d.runs.Extend(uptime.Now())
	})
	return life, ack, until
}

func (d *Daemon) idle(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, idlePause)
	defer cancel()
	select {
	case <-d.wake:
	case <-bounded.Done():
	}
}

func (d *Daemon) listed(life *runs.Life, l *runs.Listing) {
	if now := d.runs.Life(); now == nil || now.ID != life.ID || now.Born != life.Born {
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
	life := d.runs.Life()
	go func() {
		ctx, cancel := context.WithTimeout(d.ctx, startTimeout)
		defer cancel()
		answer, reason := d.target.Start(ctx, life, o, k, until)
		d.metrics.starts.WithLabelValues(answerLabel(answer)).Inc()
		if answer != runs.Accepted {
			d.log.Info("start not accepted", zap.String("task", k.Task), zap.Int("number", k.Number),
				zap.String("answer", answerLabel(answer)), zap.String("reason", reason))
		}
		d.loop.Post(func(time.Time) { d.runs.Answered(uptime.Now(), k, answer, reason) })
	}()
}

func (d *Daemon) stop(k runs.Key) {
	life := d.runs.Life()
	if life == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(d.ctx, stopTimeout)
		defer cancel()
		answer := d.target.Stop(ctx, life, k)
		d.loop.Post(func(time.Time) { d.runs.Stopped(uptime.Now(), k, answer) })
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
