package ledger_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"persimmonstage/core/ledger"
)

var start = time.Unix(1000, 0)

func key(id string, index uint32) ledger.Key {
	return ledger.Key{Team: "senandung", ID: id, Index: index}
}

func reason(err error) ledger.Reason {
	var r *ledger.Refusal
	if errors.As(err, &r) {
		return r.Reason
	}
	return ""
}

func TestStartOnce(t *testing.T) {
	var l ledger.Ledger
	deadline := start.Add(time.Minute)
	require.NoError(t, l.Start(start, key("j", 0), 3, ledger.Digest{1}, deadline))
	require.Equal(t, ledger.Duplicate, reason(l.Start(start, key("j", 0), 3, ledger.Digest{1}, deadline)))
	require.Equal(t, ledger.Different, reason(l.Start(start, key("j", 1), 3, ledger.Digest{2}, deadline)))
	require.Equal(t, ledger.Expired, reason(l.Start(deadline, key("k", 0), 3, ledger.Digest{1}, deadline)))
	require.NoError(t, l.Start(start, key("j", 1), 3, ledger.Digest{1}, deadline))
	require.True(t, l.Finish(key("j", 0), 3, []byte("ok"), false))
	require.False(t, l.Finish(key("j", 0), 3, []byte("again"), false))
	require.False(t, l.Finish(key("other", 0), 3, nil, false))
	job, ok := l.Job("senandung", "j", 3)
	require.True(t, ok)
	require.Equal(t, []ledger.Task{{Index: 0, State: ledger.Finished, Result: []byte("ok")}, {Index: 1, State: ledger.Started}}, job.Tasks)
	listed := l.Shard(3)
	require.Len(t, listed, 1)
	require.Nil(t, listed[0].Tasks[0].Result)
	require.Empty(t, l.Shard(4))
}

func TestBounds(t *testing.T) {
	l := ledger.New(ledger.Config{Since: start, Results: 10, Starts: 3, Margin: time.Second})
	deadline := start.Add(time.Minute)
	for i := range uint32(3) {
		require.NoError(t, l.Start(start, key("j", i), 0, ledger.Digest{}, deadline))
		require.True(t, l.Finish(key("j", i), 0, make([]byte, 4), false))
	}
	require.Equal(t, ledger.Full, reason(l.Start(start, key("k", 0), 0, ledger.Digest{}, deadline)))
	oldest, ok := l.Task(key("j", 0), 0)
	require.True(t, ok)
	require.Equal(t, ledger.Dropped, oldest.State)
	require.Equal(t, 8, l.Bytes())
	require.Equal(t, ledger.Duplicate, reason(l.Start(start, key("j", 0), 0, ledger.Digest{}, deadline)))
	require.Zero(t, l.Expire(deadline.Add(time.Second)))
	require.Equal(t, 3, l.Expire(deadline.Add(3*time.Second)))
	require.Zero(t, l.Bytes())
	require.NoError(t, l.Start(start, key("k", 0), 0, ledger.Digest{}, deadline))
}

func TestAgainstPlainModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := ledger.New(ledger.Config{Results: 64, Starts: 1000, Margin: 5 * time.Second})
		ends := map[ledger.Key]time.Time{}
		now := start
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ms")) * time.Millisecond)
			l.Expire(now)
			id := rapid.IntRange(0, 5).Draw(rt, "id")
			k := key(fmt.Sprint(id), uint32(rapid.IntRange(0, 2).Draw(rt, "task")))
			deadline := start.Add(time.Duration(id*8+1) * time.Second)
			err := l.Start(now, k, id%2, ledger.Digest{}, deadline)
			_, seen := ends[k]
			require.Equal(rt, !seen && deadline.After(now), err == nil)
			if err == nil {
				ends[k] = deadline.Add(5 * time.Second)
			}
			l.Finish(k, id%2, make([]byte, rapid.IntRange(0, 40).Draw(rt, "bytes")), false)
			require.LessOrEqual(rt, l.Bytes(), 64)
			for k, end := range ends {
				_, ok := l.Task(k, int(k.ID[0]-'0')%2)
				require.True(rt, ok || !now.Before(end), "expired too early")
				require.False(rt, ok && now.After(end.Add(2*time.Second)), "kept too long")
			}
		}
	})
}

func BenchmarkStart(b *testing.B) {
	l := ledger.New(ledger.Config{Starts: 1 << 40})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		_ = l.Start(start, key(fmt.Sprintf("%036d", i), 0), i%64, ledger.Digest{}, start.Add(time.Minute))
	}
}

// BenchmarkMemory reports the heap per recorded task without results, for a million tasks, by number of tasks per job.
func BenchmarkMemory(b *testing.B) {
	const million = 1_000_000
	for _, tasks := range []int{1, 16} {
		b.Run(fmt.Sprintf("tasks-per-job-%d", tasks), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				l := ledger.New(ledger.Config{Starts: 2 * million})
				for i := range million {
					k := key(fmt.Sprintf("%036d", i/tasks), uint32(i%tasks))
					_ = l.Start(start, k, i/tasks%64, ledger.Digest{}, start.Add(time.Duration(i%60)*time.Second+time.Second))
					l.Finish(k, i/tasks%64, nil, false)
				}
				b.ReportMetric(float64(heap()-before)/million, "B/task")
				runtime.KeepAlive(l)
			}
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}

func TestRefusedStaysRefused(t *testing.T) {
	var l ledger.Ledger
	deadline := start.Add(time.Minute)
	require.NoError(t, l.Refuse(start, key("j", 0), 3, ledger.Digest{1}, deadline))
	require.Equal(t, ledger.Withdrawn, reason(l.Start(start, key("j", 0), 3, ledger.Digest{1}, deadline)))
	require.NoError(t, l.Start(start, key("j", 1), 3, ledger.Digest{1}, deadline))
	require.Equal(t, ledger.Duplicate, reason(l.Refuse(start, key("j", 1), 3, ledger.Digest{1}, deadline)))
	c := l.Clone()
	require.True(t, c.Finish(key("j", 1), 3, []byte("x"), false))
	task, _ := l.Task(key("j", 1), 3)
	require.Equal(t, ledger.Started, task.State)
	require.Equal(t, 2, c.Expire(deadline.Add(time.Hour)))
	require.Equal(t, 2, l.Starts())
}
