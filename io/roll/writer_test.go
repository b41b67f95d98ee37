package roll_test

import (
	"context"
	"errors"
	"math/rand"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/cause"
	"persimmonstage/core/ended"
	"persimmonstage/core/event"
	"persimmonstage/core/rollup"
	"persimmonstage/core/tally"
	"persimmonstage/io/roll"
)

// fakeLog is a log with faults that a test can switch on; it is used inside one synctest bubble.
type fakeLog struct {
	t       *testing.T
	mu      sync.Mutex
	records []*rollup.Rollup
	at      []time.Time
	down    bool
	refuse  bool
	slow    time.Duration
	lose    func() bool // whether the answer of a successful append is lost
}

type refusedError struct{}

func (refusedError) Error() string { return "too large" }
func (refusedError) Status() int   { return 413 }

func (l *fakeLog) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	require.Equal(l.t, roll.Stream, stream)
	l.mu.Lock()
	slow := l.slow
	l.mu.Unlock()
	select {
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-time.After(slow):
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, errors.New("connection refused")
	}
	if l.refuse {
		return 0, refusedError{}
	}
	r, err := rollup.Decode(data)
	require.NoError(l.t, err)
	l.records = append(l.records, r)
	l.at = append(l.at, time.Now())
	if l.lose != nil && l.lose() {
		return 0, errors.New("connection reset")
	}
	return int64(len(l.records)), nil
}

// set changes the faults.
func (l *fakeLog) set(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

// distinct returns the records as a reader counts them, each id once.
func (l *fakeLog) distinct() []*rollup.Rollup {
	seen := map[string]bool{}
	var all []*rollup.Rollup
	for _, r := range l.records {
		if !seen[r.ID()] {
			seen[r.ID()] = true
			all = append(all, r)
		}
	}
	return all
}

func (l *fakeLog) jobs() (written, lost int64) {
	for _, r := range l.distinct() {
		written += r.Jobs()
		lost += r.LostJobs
	}
	return written, lost
}

func (l *fakeLog) events(c cause.Cause) []event.Event {
	var all []event.Event
	for _, r := range l.distinct() {
		for _, e := range r.Events {
			if e.Cause == c {
				all = append(all, e)
			}
		}
	}
	return all
}

// run runs a writer to l during body, then stops it, which writes the current minute.
func run(t *testing.T, l *fakeLog, body func(t *testing.T, w *roll.Writer)) {
	synctest.Test(t, func(t *testing.T) {
		l.t = t
		w := roll.New(l, tally.New("entry-1", "i1"), "entry-1")
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			w.Run(ctx)
			close(done)
		}()
		defer func() {
			cancel()
			cancelled := time.Now()
			<-done
			require.LessOrEqual(t, time.Since(cancelled), 5*time.Second, "stopping takes too long")
		}()
		body(t, w)
	})
}

func job(w *roll.Writer) {
	w.Update(func(t *tally.Tally) {
		t.JobEnded(time.Now(), "castle-kits", "label", ended.Complete, "", time.Second, time.Second, 0, 1)
	})
}

func TestEachMinuteIsWrittenOnceWithin12Seconds(t *testing.T) {
	l := &fakeLog{}
	run(t, l, func(_ *testing.T, w *roll.Writer) {
		for range 300 {
			job(w)
			time.Sleep(time.Second)
		}
	})
	written, lost := l.jobs()
	require.EqualValues(t, 300, written)
	require.Zero(t, lost)
	require.Len(t, l.records, len(l.distinct()))
	for i, r := range l.records {
		require.Less(t, l.at[i].Sub(r.To), 12*time.Second)
	}
	require.True(t, l.records[len(l.records)-1].Final)
}

func TestJobsCountOnceDespiteLostAnswersAndOutage(t *testing.T) {
	rng := rand.New(rand.NewSource(3))
	l := &fakeLog{lose: func() bool { return rng.Intn(2) == 0 }}
	run(t, l, func(_ *testing.T, w *roll.Writer) {
		for minute := range 4 * 60 {
			l.set(func() { l.down = minute >= 30 && minute < 200 })
			for range 6 {
				job(w)
				time.Sleep(10 * time.Second)
			}
		}
		l.set(func() { l.lose = nil })
		time.Sleep(5 * time.Minute)
	})
	written, lost := l.jobs()
	require.EqualValues(t, 4*60*6, written)
	require.Zero(t, lost)
	require.Greater(t, len(l.records), len(l.distinct()), "no answer was lost")
}

func TestOutageStartsAtFirstFailure(t *testing.T) {
	l := &fakeLog{}
	var began, over time.Time
	run(t, l, func(t *testing.T, w *roll.Writer) {
		time.Sleep(10 * time.Minute)
		began = time.Now()
		l.set(func() { l.down = true })
		time.Sleep(time.Hour)
		since, reason, ok := w.Failing()
		require.True(t, ok)
		require.Contains(t, reason, "connection refused")
		require.Less(t, since.Sub(began), 75*time.Second)
		over = time.Now()
		l.set(func() { l.down = false })
		time.Sleep(5 * time.Minute)
		_, _, ok = w.Failing()
		require.False(t, ok)
	})
	events := l.events(cause.LogDown)
	require.NotEmpty(t, events)
	for _, e := range events {
		require.Less(t, e.At.Sub(began), 75*time.Second)
	}
	last := events[len(events)-1]
	require.False(t, last.Open)
	require.Less(t, last.Until.Sub(over), time.Minute+time.Second)
}

func TestSingleFailureIsNoOutage(t *testing.T) {
	n := 0
	l := &fakeLog{lose: func() bool { n++; return n == 5 }}
	run(t, l, func(*testing.T, *roll.Writer) { time.Sleep(20 * time.Minute) })
	require.Empty(t, l.events(cause.LogDown))
}

func TestSlowLogIsRecorded(t *testing.T) {
	l := &fakeLog{}
	run(t, l, func(*testing.T, *roll.Writer) {
		time.Sleep(5 * time.Minute)
		l.set(func() { l.slow = 3 * time.Second })
		time.Sleep(10 * time.Minute)
		l.set(func() { l.slow = 0 })
		time.Sleep(5 * time.Minute)
	})
	events := l.events(cause.LogSlow)
	require.NotEmpty(t, events)
	require.False(t, events[len(events)-1].Open)
	require.Empty(t, l.events(cause.LogDown))
}

func TestRefusedRecordIsCountedAsLost(t *testing.T) {
	l := &fakeLog{refuse: true}
	run(t, l, func(_ *testing.T, w *roll.Writer) {
		job(w)
		time.Sleep(3 * time.Minute)
		l.set(func() { l.refuse = false })
		job(w)
		time.Sleep(3 * time.Minute)
	})
	written, lost := l.jobs()
	require.EqualValues(t, 1, written)
	require.EqualValues(t, 1, lost)
}

func TestStopIsBoundedWhileLogHangs(t *testing.T) {
	l := &fakeLog{slow: time.Hour}
	run(t, l, func(t *testing.T, w *roll.Writer) {
		job(w)
		time.Sleep(3*time.Minute + 30*time.Second)
		records, bytes, written := w.Backlog()
		require.Equal(t, 3, records)
		require.Positive(t, bytes)
		require.Zero(t, written)
	})
}

func TestStopRetriesAppendWithLostAnswer(t *testing.T) {
	n := 0
	l := &fakeLog{lose: func() bool { n++; return n == 1 }}
	var left int
	run(t, l, func(t *testing.T, w *roll.Writer) {
		job(w)
		t.Cleanup(func() { left, _, _ = w.Backlog() })
	})
	require.Zero(t, left)
	require.Len(t, l.records, 2)
	require.Len(t, l.distinct(), 1)
}
