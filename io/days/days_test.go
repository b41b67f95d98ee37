package days_test

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/digest"
	"persimmonstage/core/ended"
	"persimmonstage/core/rollup"
	"persimmonstage/core/tally"
	"persimmonstage/io/days"
	"persimmonstage/io/roll"
)

var zone = time.FixedZone("MYT", 8*3600)

type line struct {
	offset int64
	data   []byte
}

func (l line) Offset() int64 { return l.offset }
func (l line) Data() []byte  { return l.data }

type truncatedError struct{ first int64 }

func (e truncatedError) Error() string { return "dropped" }
func (e truncatedError) First() int64  { return e.first }

// fakeLog is an in-memory log; first is the oldest offset that it still has.
type fakeLog struct {
	mu    sync.Mutex
	lines []line
	first int64
	down  bool
	slow  time.Duration
	reads int
}

func (l *fakeLog) put(rs ...*rollup.Rollup) {
	for _, r := range rs {
		data, err := r.Encode()
		if err != nil {
			panic(err)
		}
		l.raw(data)
	}
}

func (l *fakeLog) raw(data []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, line{int64(len(l.lines) + 1), data})
}

func (l *fakeLog) Read(ctx context.Context, stream string, from int64, limit int, _ time.Duration) ([]line, int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.slow > 0 {
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-time.After(l.slow):
		}
	}
	l.reads++
	next := int64(len(l.lines) + 1)
	if stream != roll.Stream || l.down {
		return nil, 0, errors.New("connection refused")
	}
	if from > 0 && from < l.first {
		return nil, next, truncatedError{l.first}
	}
	from = max(from, 1, l.first)
	var some []line
	for ; from < next && len(some) < limit; from++ {
		some = append(some, l.lines[from-1])
	}
	return some, next, nil
}

// minutes returns the records of an entry that completes a job each minute.
func minutes(entry string, from time.Time, n int) []*rollup.Rollup {
	a := tally.New(entry, entry+"-1")
	for i := range n {
		now := from.Add(time.Duration(i) * time.Minute)
		a.JobEnded(now, "senandung", "renewal", ended.Complete, "", time.Second, time.Second, 0, 1)
	}
	a.Close(from.Add(time.Duration(n) * time.Minute))
	return a.Pending()
}

type fakeOwn struct{ pending []*rollup.Rollup }

func (o fakeOwn) Pending() []*rollup.Rollup { return o.pending }
func (o fakeOwn) Failing() (time.Time, string, bool) {
	if len(o.pending) == 0 {
		return time.Time{}, "", false
	}
	return o.pending[0].From, "connection refused", true
}

func TestEntriesRenderTheSameDayWheneverTheyRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		l := &fakeLog{}
		early, late := days.New(l, zone, nil), days.New(l, zone, nil)
		defer early.Close()
		defer late.Close()
		a, b := minutes("entry-1", start, 100), minutes("entry-2", start, 90)
		l.put(a[:50]...)
		_, _, err := early.Render(t.Context(), start.Add(50*time.Minute), "", days.JSON)
		require.NoError(t, err)
		l.put(b...)
		l.put(a[45:]...)
		now := start.Add(2 * time.Hour)
		_, one, err := early.Render(t.Context(), now, "", days.JSON)
		require.NoError(t, err)
		_, two, err := late.Render(t.Context(), now, "", days.JSON)
		require.NoError(t, err)
		require.Equal(t, string(one), string(two))
		var g digest.Digest
		require.NoError(t, json.Unmarshal(one, &g))
		require.EqualValues(t, 190, g.Totals.Jobs)
		require.Equal(t, digest.Well, g.Verdict)
	})
}

func TestPageIsRenderedAtMostOnceInFiveSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &fakeLog{}
		d := days.New(l, zone, nil)
		defer d.Close()
		start := time.Now()
		for i := range 40 {
			_, _, err := d.Render(t.Context(), start.Add(time.Duration(i)*100*time.Millisecond), "", days.HTML)
			require.NoError(t, err)
		}
		require.Equal(t, 1, l.reads)
		_, _, err := d.Render(t.Context(), start.Add(6*time.Second), "", days.HTML)
		require.NoError(t, err)
		require.Equal(t, 2, l.reads)
	})
}

func TestTruncatedLogAndMalformedRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		l := &fakeLog{}
		d := days.New(l, zone, nil)
		defer d.Close()
		l.put(minutes("entry-1", start, 10)...)
		_, err := d.Digest(t.Context(), start, "")
		require.NoError(t, err)
		l.first = int64(len(l.lines) + 2)
		l.raw([]byte("garbage"))
		l.raw([]byte(`{"incarnation":"x"}`))
		l.put(minutes("entry-2", start, 10)...)
		g, err := d.Digest(t.Context(), start.Add(time.Hour), "")
		require.NoError(t, err)
		require.EqualValues(t, 20, g.Totals.Jobs)
		require.Equal(t, []string{"1 records could not be understood and are left out."}, g.Notes)
	})
}

func TestPageShowsOwnRecordsWhileLogIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		l := &fakeLog{}
		own := minutes("entry-1", start, 30)
		l.put(own[:10]...)
		d := days.New(l, zone, &fakeOwn{pending: own[9:]})
		defer d.Close()
		_, err := d.Digest(t.Context(), start, "")
		require.NoError(t, err)
		l.down = true
		for range 2 {
			g, err := d.Digest(t.Context(), start.Add(31*time.Minute), "")
			require.NoError(t, err)
			require.EqualValues(t, 30, g.Totals.Jobs)
			require.Equal(t, digest.Unsure, g.Verdict, "the work of other entries is unknown")
			require.Len(t, g.Notes, 2)
			require.Contains(t, g.Notes[0], "this page shows what this entry counted itself")
			require.Contains(t, g.Notes[1], "The platform's log can't be read now: other entries' records are known as of 08:00")
		}
	})
}

func TestSlowLogDoesNotBlockThePage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &fakeLog{slow: 4 * time.Second}
		d := days.New(l, zone, nil)
		defer d.Close()
		start := time.Now()
		g, err := d.Digest(t.Context(), start, "")
		require.NoError(t, err)
		require.LessOrEqual(t, time.Since(start), 2*time.Second)
		require.Contains(t, g.Notes[0], "still being read")
		time.Sleep(10 * time.Second)
		g, err = d.Digest(t.Context(), start, "")
		require.NoError(t, err)
		require.Empty(t, g.Notes)
	})
}

func TestErrorsOfDaysThatCanNotBeShown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := days.New(&fakeLog{}, zone, nil)
		defer d.Close()
		now := time.Now()
		for date, reason := range map[string]string{
			"yesterday":  "YYYY-MM-DD",
			"2026-13-01": "YYYY-MM-DD",
			now.In(zone).AddDate(0, 0, 1).Format(time.DateOnly):                     "has not begun",
			now.In(zone).AddDate(0, 0, -days.DefaultKeptDays).Format(time.DateOnly): "before the last 8 days",
		} {
			_, _, err := d.Render(t.Context(), now, date, days.HTML)
			var bad *days.Error
			require.ErrorAs(t, err, &bad, date)
			require.Equal(t, date, bad.Day())
			require.ErrorContains(t, err, reason)
		}
		_, _, err := d.Render(t.Context(), now, now.In(zone).AddDate(0, 0, 1-days.DefaultKeptDays).Format(time.DateOnly), days.HTML)
		require.NoError(t, err)
	})
}

func TestForms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := days.New(&fakeLog{}, zone, nil)
		defer d.Close()
		for form, want := range map[string]string{days.HTML: "<!DOCTYPE html>", days.Text: "Did the day go well?", days.JSON: `"went": "unsure"`} {
			contentType, body, err := d.Render(t.Context(), time.Now(), "", form)
			require.NoError(t, err)
			require.NotEmpty(t, contentType)
			require.True(t, strings.Contains(string(body), want), form)
		}
		_, _, err := d.Render(t.Context(), time.Now(), "", "pdf")
		require.ErrorContains(t, err, "pdf")
	})
}
