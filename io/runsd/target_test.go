package runsd

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"persimmonstage/core/newest"
	"persimmonstage/core/runs"
	"persimmonstage/io/uptime"
)

// refusingTarget refuses every connection at once, as a target whose process has ended.
type refusingTarget struct{ starts, stops, polls int }

func (t *refusingTarget) Start(context.Context, *runs.Instance, *runs.Order, runs.Key, time.Time) (runs.Answer, string) {
	t.starts++
	return runs.Lost, "refused"
}

func (t *refusingTarget) Stop(context.Context, *runs.Instance, runs.Key) runs.Answer {
	t.stops++
	return runs.Lost
}

func (t *refusingTarget) Poll(context.Context, *runs.Instance, int64, time.Time, time.Duration) (*runs.Listing, error) {
	t.polls++
	return nil, errors.New("refused")
}

func (t *refusingTarget) Fence() {}

func (t *refusingTarget) Identify(context.Context, *runs.Instance) (*runs.Listing, error) {
	return nil, errors.New("refused")
}

func newTestDaemon(t target) *Daemon {
	return New(Config{Name: "a"}, t, nil, &newest.Newest{}, zap.NewNop(), prometheus.NewRegistry())
}

// A broken connection fails at once. If the next call followed at once as well, a stop at a target that has just ended would be called
// thousands of times within its budget.
func TestCallsThatFailAtOnceAreRepeatedAFewTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := &refusingTarget{}
		d := newTestDaemon(target)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		d.ctx = ctx
		began := time.Now()
		answer, _ := d.callStart(&runs.Instance{}, &runs.Order{}, runs.Key{}, uptime.Now().Add(time.Hour), 20*time.Millisecond)
		require.Equal(t, runs.Lost, answer)
		require.Equal(t, 1, target.starts, "another process of the target may carry out the next")
		answer = d.repeat(6*time.Millisecond, stopBudget, true, func(ctx context.Context) runs.Answer { return target.Stop(ctx, nil, runs.Key{}) })
		require.Equal(t, runs.Lost, answer)
		require.LessOrEqual(t, target.stops, 7)
		require.Equal(t, time.Duration(target.stops-1)*refusedPause, time.Since(began))
	})
}

// A process that was frozen between the decision to start a run and the call, or between two calls, finds the lease ended.
func TestAStartIsNotCalledAfterItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := &refusingTarget{}
		d := newTestDaemon(target)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		d.ctx = ctx
		answer, _ := d.callStart(&runs.Instance{}, &runs.Order{}, runs.Key{}, uptime.Now(), 20*time.Millisecond)
		require.Equal(t, runs.Rejected, answer)
		require.Zero(t, target.starts)
	})
}

// scriptedTarget gives the answers of a list to starts, one each.
type scriptedTarget struct {
	refusingTarget
	answers []startAnswer
}

type startAnswer struct {
	answer  runs.Answer
	reason  string
	timeout bool // the answer comes at the end of the call's time
}

func (t *scriptedTarget) Start(ctx context.Context, _ *runs.Instance, _ *runs.Order, _ runs.Key, _ time.Time) (runs.Answer, string) {
	a := t.answers[t.starts]
	t.starts++
	if a.timeout {
		<-ctx.Done()
	}
	return a.answer, a.reason
}

// TestARejectionAfterALostAnswerIsNotOne guards against a run that is counted as not started: the call before may have started it.
func TestARejectionAfterALostAnswerIsNotOne(t *testing.T) {
	lost := startAnswer{runs.Lost, "timeout", true}
	for name, c := range map[string]struct {
		answers []startAnswer
		want    runs.Answer
	}{
		"rejected at once":          {[]startAnswer{{runs.Rejected, "old", false}}, runs.Rejected},
		"refused at once":           {[]startAnswer{{runs.Rejected, runs.Unreachable, false}}, runs.Rejected},
		"ended there":               {[]startAnswer{lost, {runs.Rejected, "old", false}}, runs.Lost},
		"refused later":             {[]startAnswer{lost, {runs.Rejected, runs.Unreachable, false}}, runs.Lost},
		"not sent again":            {[]startAnswer{lost, {runs.Rejected, runs.Refused, false}}, runs.Lost},
		"another status":            {[]startAnswer{{runs.Lost, "status-500", false}}, runs.Lost},
		"another status, once more": {[]startAnswer{lost, {runs.Lost, "status-500", false}}, runs.Lost},
	} {
		synctest.Test(t, func(t *testing.T) {
			target := &scriptedTarget{answers: c.answers}
			d := newTestDaemon(target)
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			d.ctx = ctx
			answer, _ := d.callStart(&runs.Instance{}, &runs.Order{}, runs.Key{}, uptime.Now().Add(time.Hour), 20*time.Millisecond)
			require.Equal(t, c.want, answer, name)
			require.Equal(t, len(c.answers), target.starts, name)
		})
	}
}

// silentTarget answers no call.
type silentTarget struct{ refusingTarget }

func (t *silentTarget) Start(ctx context.Context, _ *runs.Instance, _ *runs.Order, _ runs.Key, _ time.Time) (runs.Answer, string) {
	<-ctx.Done()
	return runs.Lost, "timeout"
}

func (t *silentTarget) Stop(ctx context.Context, _ *runs.Instance, _ runs.Key) runs.Answer {
	<-ctx.Done()
	return runs.Lost
}

// TestAStopThatAnEarlierProcessConfirmedEndsNoRun guards against tasks that run twice: a target confirmed a stop and restarted, and the answer
// was processed after the first list of its next process, which may still carry out the start.
func TestAStopThatAnEarlierProcessConfirmedEndsNoRun(t *testing.T) {
	d := newTestDaemon(&silentTarget{})
	d.ctx = t.Context()
	earlier := &runs.Instance{ID: "i", Addr: "10.0.0.1:80", Born: 1, Millicores: 1000, MemoryMB: 1}
	next := *earlier
	next.Born = 2
	now := uptime.Now()
	d.runs.Announced(now, earlier)
	d.runs.Listed(now, &runs.Listing{Born: 1, Sent: now})
	d.runs.RecordEcho("e", now)
	d.runs.Order(now, "e", &runs.Order{Attempt: 1, Task: "t", Number: 1})
	d.runs.Stop(now, "e", 1)
	d.runs.Announced(now, &next)
	d.runs.Listed(now, &runs.Listing{Born: 2, Sent: now})
	later := now.Add(time.Hour)
	for _, instance := range []*runs.Instance{earlier, &next} {
		require.Equal(t, 1, d.runs.Len())
		d.stopAnswered(instance, runs.Key{Task: "t", Number: 1}, runs.Accepted)
		d.runs.Listed(later, &runs.Listing{Born: 2, Sent: later})
	}
	require.Zero(t, d.runs.Len())
}
