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
	// startTimeout is how long to wait for the answer to a start before the call is repeated; it doubles with each call. A target
	// on the same host answers within some milliseconds.
	startTimeout = 20 * time.Millisecond
	// startCalls is the number of calls for one start; if none is answered, the target's list of runs decides.
	startCalls  = 3
	stopTimeout = 60 * time.Millisecond
	// pollWait is how long the target waits for an end before it answers a poll.
	pollWait = 120 * time.Millisecond
	// pollTimeout is how long to wait for the answer beyond pollWait.
	pollTimeout = 30 * time.Millisecond
	// lossPollWait replaces pollWait for lossPeriod after a lost answer, because each lost answer delays the reports of ends.
	lossPollWait = 25 * time.Millisecond
	lossPeriod   = 3 * time.Second
	// pollPause is the time between two polls of a target that doesn't answer, once maxPollLosses answers were lost.
	pollPause = 50 * time.Millisecond
	// maxPollLosses is the number of consecutive lost answers from which on a target counts as lost.
	maxPollLosses = 3
	// idlePause is the time between two checks whether there is a target to poll.
	idlePause = time.Second
)

// pollTarget continuously polls the target for its running and ended runs.
func (d *Daemon) pollTarget(ctx context.Context) {
	losses, lossUntil := 0, time.Time{}
	for ctx.Err() == nil {
		instance, ack, until := d.nextPoll(ctx)
		if instance == nil {
			d.idle(ctx)
			continue
		}
		sent := uptime.Now()
		wait := pollWait
		if sent.Before(lossUntil) {
			wait = lossPollWait
		}
		bounded, cancel := context.WithTimeout(ctx, wait+pollTimeout)
		listing, err := d.target.Poll(bounded, instance, ack, until, wait)
		cancel()
		if err != nil {
			losses++
			lossUntil = uptime.Now().Add(lossPeriod)
			d.pollFailed(ctx, instance, losses, err)
			continue
		}
		if losses >= maxPollLosses {
			d.log.Info("target back", zap.String("target", instance.ID), zap.Int("losses", losses))
		}
		losses = 0
		d.metrics.polls.WithLabelValues("answered").Inc()
		listing.Sent = sent
		d.loop.Post(func(time.Time) { d.listed(instance, listing) })
	}
}

// pollFailed handles a poll without an answer.
func (d *Daemon) pollFailed(ctx context.Context, instance *runs.Instance, losses int, err error) {
	d.metrics.polls.WithLabelValues("failed").Inc()
	if errors.Is(err, syscall.ECONNREFUSED) {
		d.loop.Post(func(time.Time) { d.runs.TargetDown(uptime.Now()) })
	}
	if losses < maxPollLosses || ctx.Err() != nil {
		return
	}
	if losses == maxPollLosses {
		d.log.Warn("target lost", zap.String("target", instance.ID), zap.String("error", err.Error()))
	}
	loop.Sleep(ctx, pollPause)
}

// nextPoll returns the parameters of the next poll; the instance is nil if there is no target. The variables that the posted step
// sets are read only if it has run.
func (d *Daemon) nextPoll(ctx context.Context) (instance *runs.Instance, ack int64, until time.Time) {
	var next struct {
		instance *runs.Instance
		ack      int64
		until    time.Time
	}
	if !d.loop.Call(ctx, func(time.Time) {
		next.instance, next.ack = d.runs.Instance(), d.runs.Ack()
		next.until, _ = d.runs.ExtendLease(uptime.Now())
	}) {
		return nil, 0, time.Time{}
	}
	return next.instance, next.ack, next.until
}

func (d *Daemon) idle(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, idlePause)
	defer cancel()
	select {
	case <-d.wake:
	case <-bounded.Done():
	}
}

func (d *Daemon) listed(instance *runs.Instance, l *runs.Listing) {
	if now := d.runs.Instance(); now == nil || now.ID != instance.ID || now.Born != instance.Born {
		return
	}
	if l.Born != 0 && l.Born != instance.Born {
		d.log.Info("target restarted", zap.String("target", instance.ID), zap.Int64("born", l.Born))
		next := *instance
		next.Born, next.Sequence = l.Born, 0
		d.runs.Announced(uptime.Now(), &next)
		return
	}
	d.runs.Listed(uptime.Now(), l)
}

// start starts a run on a separate goroutine.
func (d *Daemon) start(k runs.Key, o *runs.Order, until time.Time) {
	instance := d.runs.Instance()
	go func() {
		answer, reason := d.callStart(instance, o, k, until)
		d.metrics.starts.WithLabelValues(answerLabel(answer)).Inc()
		if answer != runs.Accepted {
			d.log.Info("start not accepted", zap.String("task", k.Task), zap.Int("number", k.Number),
				zap.String("answer", answerLabel(answer)), zap.String("reason", reason))
		}
		d.loop.Post(func(time.Time) { d.runs.StartAnswered(uptime.Now(), k, answer, reason) })
	}()
}

// callStart repeats a start until it is answered; the target executes a repeated start only once. A rejection after a lost answer
// may be caused by the first call having succeeded, so the result is then Lost.
func (d *Daemon) callStart(instance *runs.Instance, o *runs.Order, k runs.Key, until time.Time) (runs.Answer, string) {
	timeout := startTimeout
	reason := ""
	for call := range startCalls {
		ctx, cancel := context.WithTimeout(d.ctx, timeout)
		answer, why := d.target.Start(ctx, instance, o, k, until)
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
	instance := d.runs.Instance()
	if instance == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(d.ctx, stopTimeout)
		defer cancel()
		answer := d.target.Stop(ctx, instance, k)
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
