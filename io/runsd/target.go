package runsd

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"persimmonstage/core/polls"
	"persimmonstage/core/runs"
	"persimmonstage/io/loop"
	"persimmonstage/io/uptime"
)

const (
	// startBudget is how long an unanswered start is repeated; then the target's list of runs decides.
	startBudget = 140 * time.Millisecond
	// stopBudget is the same for a stop, which the table of runs repeats later.
	stopBudget = 60 * time.Millisecond
	// refusedPause is the time between two calls if the first one's connection was refused or broken.
	refusedPause = 2 * time.Millisecond
	// maxPollLosses is the number of consecutive lost answers from which on a target may count as lost.
	maxPollLosses = 3
	// reasonLate is the reason of a start whose lease has ended, as targets give it.
	reasonLate = "late"
	// identifyPeriod is the time between two questions to an announced process, and how long each waits for its answer.
	identifyPeriod = 100 * time.Millisecond
	// idlePause is the time between two checks whether there is a target to poll.
	idlePause = time.Second
)

// poll is a poll with what it is sent for; the instance is nil if there is no target.
type poll struct {
	polls.Poll
	instance *runs.Instance
	ack      int64
	until    time.Time
	sent     time.Time
}

// pollTarget continuously polls the target for its running and ended runs.
func (d *Daemon) pollTarget(ctx context.Context) {
	for ctx.Err() == nil {
		p := d.nextPoll(ctx)
		if p.instance == nil {
			d.idle(ctx)
			continue
		}
		answered := make(chan bool, 1)
		go d.sendPoll(ctx, &p, answered)
		d.awaitNextPoll(ctx, &p, answered)
	}
}

// awaitNextPoll waits until the next poll is due; answered tells whether this one was answered or has failed.
func (d *Daemon) awaitNextPoll(ctx context.Context, p *poll, answered <-chan bool) {
	latest := time.NewTimer(p.Latest.Sub(uptime.Now()))
	defer latest.Stop()
	select {
	case ok := <-answered:
		pause := p.Pause
		if ok {
			pause = p.Earliest.Sub(uptime.Now())
		}
		if pause > 0 {
			loop.Sleep(ctx, pause)
		}
	case <-latest.C:
	case <-ctx.Done():
	}
}

// sendPoll polls the target once and sends to answered whether it answered.
func (d *Daemon) sendPoll(ctx context.Context, p *poll, answered chan<- bool) {
	bounded, cancel := context.WithTimeout(ctx, p.AnswerBy.Sub(p.sent))
	listing, err := d.target.Poll(bounded, p.instance, p.ack, p.until, p.Wait)
	cancel()
	if err != nil {
		d.loop.Post(func(time.Time) { d.pollFailed(p, err) })
		answered <- false
		return
	}
	listing.Sent = p.sent
	d.loop.Post(func(time.Time) { d.pollAnswered(p, listing) })
	answered <- true
}

func (d *Daemon) pollAnswered(p *poll, listing *runs.Listing) {
	if d.pollLosses >= maxPollLosses {
		d.log.Info("target back", zap.String("target", p.instance.ID), zap.Int("losses", d.pollLosses))
	}
	d.pollLosses = 0
	d.metrics.polls.WithLabelValues("answered").Inc()
	d.listed(p.instance, listing)
}

// pollFailed handles a poll without an answer.
func (d *Daemon) pollFailed(p *poll, err error) {
	d.metrics.polls.WithLabelValues("failed").Inc()
	now := uptime.Now()
	if d.runs.Instance() != nil && !d.isCurrent(p.instance) {
		return
	}
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		d.runs.TargetDown(now)
	case now.Before(p.AnswerBy):
		d.runs.ConnectionBroken(now)
		d.calls.Lost(now)
	default:
		d.calls.Lost(now)
	}
	d.pollLosses++
	if d.pollLosses == maxPollLosses {
		d.log.Warn("target lost", zap.String("target", p.instance.ID), zap.String("error", err.Error()))
	}
}

// isCurrent reports whether instance is the present process of the target.
func (d *Daemon) isCurrent(instance *runs.Instance) bool {
	now := d.runs.Instance()
	return now != nil && now.ID == instance.ID && now.Born == instance.Born
}

// nextPoll returns the poll that is due. The variable that the posted step sets is read only if it has run.
func (d *Daemon) nextPoll(ctx context.Context) poll {
	var next poll
	if !d.loop.Call(ctx, func(time.Time) {
		now := uptime.Now()
		silent := d.pollLosses >= maxPollLosses && d.runs.Silent(now)
		next = poll{Poll: polls.Next(now, &d.calls, silent), instance: d.runs.Instance(), ack: d.runs.Ack(), sent: now}
		next.until, _ = d.runs.ExtendLease(now)
	}) {
		return poll{}
	}
	return next
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
	if !d.isCurrent(instance) {
		return
	}
	if l.Born != 0 && l.Born != instance.Born {
		d.log.Info("target restarted", zap.String("target", instance.ID), zap.Int64("announced-born", instance.Born), zap.Int64("born", l.Born))
	}
	d.runs.Listed(uptime.Now(), l)
}

// identify asks an announced process that isn't the target yet for its list, which tells whether it is the announced one.
func (d *Daemon) identify(now time.Time) {
	l := d.runs.Successor()
	if l == nil || d.identifying || now.Before(d.nextIdentify) {
		return
	}
	d.identifying, d.nextIdentify = true, now.Add(identifyPeriod)
	go func() {
		ctx, cancel := context.WithTimeout(d.ctx, identifyPeriod)
		listing, err := d.target.Identify(ctx, l)
		cancel()
		d.loop.Post(func(time.Time) { d.identified(l, now, listing, err) })
	}()
}

func (d *Daemon) identified(l *runs.Instance, sent time.Time, listing *runs.Listing, err error) {
	d.identifying = false
	if err != nil {
		d.log.Info("announced target doesn't answer", zap.String("target", l.ID), zap.String("address", l.Addr), zap.String("error", err.Error()))
		return
	}
	listing.Sent = sent
	if listing.Born != l.Born {
		d.log.Warn("announced target isn't at its address", zap.String("target", l.ID), zap.String("address", l.Addr),
			zap.Int64("born", l.Born), zap.Int64("listed-born", listing.Born))
	}
	d.runs.Identified(uptime.Now(), l, listing)
}

// noteTarget logs the target when it has changed, wakes the polling goroutine, and has confirmed changes kept.
func (d *Daemon) noteTarget() {
	if l := d.runs.Confirmed(); l != nil && l != d.kept && d.keep != nil {
		d.kept = l
		d.keep(l)
	}
	l := d.runs.Instance()
	if l == nil || d.noted != nil && d.noted.Same(l) {
		return
	}
	d.noted = l
	d.log.Info("target announced", zap.String("target", l.ID), zap.String("address", l.Addr), zap.String("service", l.Service),
		zap.Int64("born", l.Born), zap.Uint64("millicores", l.Millicores), zap.Bool("draining", l.Draining))
	d.wakeUp()
}

// start starts a run on a separate goroutine.
func (d *Daemon) start(k runs.Key, o *runs.Order, until time.Time) {
	instance, timeout := d.runs.Instance(), d.calls.Timeout(uptime.Now())
	go func() {
		answer, reason := d.callStart(instance, o, k, until, timeout)
		d.metrics.starts.WithLabelValues(answerLabel(answer)).Inc()
		if answer != runs.Accepted {
			d.log.Info("start not accepted", zap.String("task", k.Task), zap.Int("number", k.Number),
				zap.String("answer", answerLabel(answer)), zap.String("reason", reason))
		}
		d.loop.Post(func(time.Time) { d.startAnswered(instance, k, answer, reason) })
	}()
}

func (d *Daemon) startAnswered(instance *runs.Instance, k runs.Key, answer runs.Answer, reason string) {
	now := uptime.Now()
	if reason == runs.Unreachable && d.isCurrent(instance) {
		d.runs.TargetDown(now)
	}
	d.runs.StartAnswered(now, k, answer, reason)
}

// callStart repeats a start until it is answered; the target executes a repeated start only once. A rejection after a lost answer
// may be caused by the first call having succeeded, so the result is then Lost. No call is made after the lease that was granted
// for the start, as this process may have stalled meanwhile, nor after a broken connection, as the next process of the target might
// carry it out: the target's list decides.
func (d *Daemon) callStart(instance *runs.Instance, o *runs.Order, k runs.Key, until time.Time, timeout time.Duration) (runs.Answer, string) {
	reason := ""
	calls := 0
	answer := d.repeat(timeout, startBudget, false, func(ctx context.Context) (answer runs.Answer) {
		if !uptime.Now().Before(until) {
			reason = reasonLate
			if calls == 0 {
				return runs.Rejected
			}
			return runs.Lost
		}
		calls++
		answer, reason = d.target.Start(ctx, instance, o, k, until)
		return answer
	})
	if answer == runs.Rejected && calls > 1 {
		answer = runs.Lost
	}
	return answer, reason
}

// repeat repeats a call until it is answered, or until the timeouts of the calls add up to budget; one whose connection broke is repeated
// only if afterBreak is set. Every second repetition waits twice as long for its answer.
func (d *Daemon) repeat(timeout, budget time.Duration, afterBreak bool, call func(ctx context.Context) runs.Answer) runs.Answer {
	spent := time.Duration(0)
	for n := 1; ; n++ {
		sent := uptime.Now()
		ctx, cancel := context.WithTimeout(d.ctx, timeout)
		answer := call(ctx)
		failedAtOnce := answer == runs.Lost && ctx.Err() == nil
		cancel()
		if !failedAtOnce {
			now := uptime.Now()
			d.loop.Post(func(time.Time) { d.recordCall(now, answer, now.Sub(sent)) })
		}
		spent += timeout
		if answer != runs.Lost || spent >= budget || d.ctx.Err() != nil || failedAtOnce && !afterBreak {
			return answer
		}
		if failedAtOnce {
			loop.Sleep(d.ctx, refusedPause)
		}
		if n%2 == 0 {
			timeout *= 2
		}
	}
}

// recordCall records the outcome of a call for the estimate of the next one's timeout.
func (d *Daemon) recordCall(now time.Time, answer runs.Answer, delay time.Duration) {
	if answer == runs.Lost {
		d.calls.Lost(now)
	} else {
		d.calls.Answered(delay)
	}
}

func (d *Daemon) stop(k runs.Key) {
	instance, timeout := d.runs.Instance(), d.calls.Timeout(uptime.Now())
	if instance == nil {
		return
	}
	go func() {
		answer := d.repeat(timeout, stopBudget, true, func(ctx context.Context) runs.Answer { return d.target.Stop(ctx, instance, k) })
		d.loop.Post(func(time.Time) { d.stopAnswered(instance, k, answer) })
	}()
}

// stopAnswered processes the answer to a stop. One of an earlier process doesn't show that the present one rejects the start.
func (d *Daemon) stopAnswered(instance *runs.Instance, k runs.Key, answer runs.Answer) {
	if d.isCurrent(instance) {
		d.runs.StopAnswered(uptime.Now(), k, answer)
	}
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
