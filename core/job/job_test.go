package job_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/job"
	"persimmonstage/core/needs"
	"persimmonstage/core/task"
)

const payloadBytes = 64 << 10

func large() *job.Job {
	j := &job.Job{Kind: "cut", Issued: time.Unix(1, 0), Deadline: time.Unix(2, 0), Tasks: make([]task.Task, 160)}
	for i := range j.Tasks {
		j.Tasks[i] = task.Task{Payload: make([]byte, payloadBytes), Needs: needs.Vector{Slots: 1}}
	}
	return j
}

func TestCachingDoesNotChangeTheDigest(t *testing.T) {
	j := large()
	want := j.Digest()
	j.CacheDigest()
	require.Equal(t, want, j.Digest())
	other := large()
	other.Issued = other.Issued.Add(1)
	other.CacheDigest()
	require.NotEqual(t, want, other.Digest(), "the digest includes the time of issue")
}

func BenchmarkDigest(b *testing.B) {
	j := large()
	b.Run("uncached", func(b *testing.B) {
		for b.Loop() {
			_ = j.Digest()
		}
	})
	j.CacheDigest()
	b.Run("cached", func(b *testing.B) {
		for b.Loop() {
			_ = j.Digest()
		}
	})
}
