package cancel

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func TestManyCancellationsNeedFewMessages(t *testing.T) {
	var b Batch
	messages := 0
	send := func(_ string, ids []uint64) {
		messages++
		require.LessOrEqual(t, len(ids), maxIDs)
	}
	const agents, attempts = 20, 100_000
	for i := range attempts {
		b.Add(fmt.Sprint("agent-", i%agents), []uint64{uint64(i)}, start)
	}
	b.SendDue(start.Add(maxDelay), send)
	require.LessOrEqual(t, messages, agents*(attempts/agents/maxIDs+1))
	_, ok := b.Next()
	require.False(t, ok)
}

func TestASingleCancellationWaitsForALimitedTime(t *testing.T) {
	var b Batch
	var sent []uint64
	send := func(_ string, ids []uint64) { sent = append(sent, ids...) }
	b.Add("a", []uint64{7, 7}, start)
	b.SendDue(start.Add(maxDelay-1), send)
	require.Empty(t, sent)
	next, ok := b.Next()
	require.True(t, ok)
	b.SendDue(next, send)
	require.Equal(t, []uint64{7}, sent)
}

func TestAFullMessageIsDueAtOnce(t *testing.T) {
	var b Batch
	for i := range maxIDs {
		b.Add("a", []uint64{uint64(i)}, start)
	}
	next, ok := b.Next()
	require.True(t, ok)
	require.Equal(t, start, next)
}

// Each cancellation is sent once and in time, unless its agent was forgotten before.
func TestEachCancellationIsSentOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Batch
		now := start
		due := map[string]time.Time{}
		send := func(agent string, ids []uint64) {
			for _, id := range ids {
				key := fmt.Sprint(agent, id)
				require.Contains(t, due, key)
				delete(due, key)
			}
		}
		for id := range rapid.Uint64Range(1, 80).Draw(t, "steps") {
			agent := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "agent")
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				b.Forget(agent)
				for key := range due {
					if key[:1] == agent {
						delete(due, key)
					}
				}
			case 1:
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "us")) * time.Microsecond)
				b.SendDue(now, send)
				for key, at := range due {
					require.True(t, at.After(now), "%s is late", key)
				}
			default:
				b.Add(agent, []uint64{id}, now)
				due[fmt.Sprint(agent, id)] = now.Add(maxDelay)
			}
		}
		b.SendDue(now.Add(maxDelay), send)
		require.Empty(t, due)
	})
}

// BenchmarkAddAndDue measures one cancellation, in batches of a thousand over ten agents.
func BenchmarkAddAndDue(b *testing.B) {
	var batch Batch
	names := []string{"0", "1", "2", "3", "4", "5", "6", "7", "8", "9"}
	send := func(string, []uint64) {}
	ids := make([]uint64, 1)
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		ids[0] = uint64(i)
		batch.Add(names[i%len(names)], ids, start)
		if i++; i%1000 == 0 {
			batch.SendDue(start.Add(maxDelay), send)
		}
	}
}
