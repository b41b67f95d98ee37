package admit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

// job returns a request of tasks that each take a whole host for a second, due ten seconds after the epoch.
func job(team string, tasks int64) Request {
	return Request{
		Team: team, Kind: "x", Tasks: tasks, Bytes: 100, Run: time.Second, Size: 1000,
		Issued: epoch, Deadline: epoch.Add(10 * time.Second),
	}
}

func requireRefused(t *testing.T, err error, reason string) *RefusedError {
	t.Helper()
	var refused *RefusedError
	require.True(t, errors.As(err, &refused), "%v", err)
	require.Equal(t, reason, refused.Reason, "%v", err)
	return refused
}

func admit(t *testing.T, g *Gate, r Request) {
	t.Helper()
	_, err := g.Admit(r, epoch)
	require.NoError(t, err)
}

func TestJobWhoseExpectedWaitExceedsItsDeadlineIsRefused(t *testing.T) {
	var g Gate
	g.SetFleetRate(1)
	admit(t, &g, job("a", 6))
	refused := requireRefused(t, g.Check(job("a", 5), epoch), DeadlineTooNear)
	require.Equal(t, 10*time.Second, refused.Wait, "six tasks of the first job and four of its own start before the last")
	require.True(t, refused.Retry.After(epoch))
	require.NoError(t, g.Check(job("a", 4), epoch))
}

func TestWaitDependsOnlyOnTheOwnShare(t *testing.T) {
	var g Gate
	g.SetFleetRate(4)
	for range 4 {
		admit(t, &g, job("a", 8))
	}
	requireRefused(t, g.Check(job("a", 8), epoch), DeadlineTooNear)
	require.NoError(t, g.Check(job("b", 8), epoch), "b gets half of the fleet")
}

func TestReportedRateAndBacklogExpire(t *testing.T) {
	var g Gate
	g.SetFleetRate(1)
	g.Report("a", "x", 20, 1, epoch, epoch.Add(3*time.Second))
	requireRefused(t, g.Check(job("a", 1), epoch), DeadlineTooNear)
	g.Report("a", "x", 20, 4, epoch, epoch.Add(3*time.Second))
	require.NoError(t, g.Check(job("a", 1), epoch))
	g.Report("a", "x", 20, 1, epoch, epoch.Add(3*time.Second))
	g.Expire(epoch.Add(3 * time.Second))
	require.NoError(t, g.Check(job("a", 1), epoch.Add(3*time.Second)))
}

func TestAnImpatientJobDoesNotWaitForPatientOnes(t *testing.T) {
	var g Gate
	g.SetFleetRate(1)
	patient := job("a", 60)
	patient.Deadline = epoch.Add(time.Hour)
	admit(t, &g, patient)
	require.NoError(t, g.Check(job("a", 2), epoch))
	for range 4 {
		admit(t, &g, job("a", 2))
	}
	requireRefused(t, g.Check(job("a", 3), epoch), DeadlineTooNear)
}

func TestExpiredAndTooLargeJobsGetNoRetryTime(t *testing.T) {
	var g Gate
	g.SetBounds(100, 1000)
	refused := requireRefused(t, g.Check(job("a", 1), epoch.Add(time.Minute)), Expired)
	require.Zero(t, refused.Retry)
	refused = requireRefused(t, g.Check(job("a", 101), epoch), TooLarge)
	require.Zero(t, refused.Retry)
}

func TestQuotaOfStartsRefusesPastTheDeadline(t *testing.T) {
	var g Gate
	g.SetQuota("a", Quota{Starts: 10, Burst: 20})
	admit(t, &g, job("a", 20))
	ready, err := g.Admit(job("a", 50), epoch)
	require.NoError(t, err)
	require.Equal(t, epoch, ready, "the burst covers the starts admitted before")
	ready, err = g.Admit(job("a", 50), epoch)
	require.NoError(t, err)
	require.Equal(t, 5*time.Second, ready.Sub(epoch))
	refused := requireRefused(t, g.Check(job("a", 1), epoch), OverQuota)
	require.Equal(t, 10*time.Second, refused.Wait)
	later := job("a", 1)
	later.Deadline = epoch.Add(15 * time.Second)
	ready, err = g.Admit(later, epoch.Add(5*time.Second))
	require.NoError(t, err, "the quota is replenished with time")
	require.Equal(t, 10*time.Second, ready.Sub(epoch))
	require.NoError(t, g.Check(job("b", 50), epoch), "another team has its own quota")
}

func TestQuotaOfRunningTasks(t *testing.T) {
	var g Gate
	g.SetFleetRate(100)
	g.SetQuota("a", Quota{Running: 2})
	r := job("a", 4)
	admit(t, &g, r)
	g.Sent(r)
	require.True(t, g.MayStart("a"))
	g.Sent(r)
	require.False(t, g.MayStart("a"))
	require.True(t, g.MayStart("b"))
	requireRefused(t, g.Check(job("a", 20), epoch), DeadlineTooNear)
	g.Requeued(r)
	require.True(t, g.MayStart("a"))
	g.Sent(r)
	g.Done(r)
	require.True(t, g.MayStart("a"))
}

func TestATeamWithinItsWeightIsNotRefusedInAFlood(t *testing.T) {
	var g Gate
	g.SetBounds(1200, 0)
	g.SetFleetRate(10)
	g.SetWeight("b", "x", 1)
	g.SetWeight("flood", "x", 1)
	var err error
	for err == nil {
		r := job("flood", 1)
		r.Deadline = epoch.Add(time.Hour)
		_, err = g.Admit(r, epoch)
	}
	requireRefused(t, err, ShareFull)
	for range 4 {
		admit(t, &g, job("b", 10))
	}
	patient := job("b", 160)
	patient.Deadline = epoch.Add(time.Hour)
	admit(t, &g, patient)
}

func TestJoiningCallersFillOnlyTheirOwnShare(t *testing.T) {
	var g Gate
	g.SetBounds(300, 0)
	g.SetWeight("a", "x", 1)
	g.SetWeight("b", "x", 1)
	var err error
	joined := 0
	for ; err == nil; joined++ {
		err = g.Join(job("a", 1), epoch)
	}
	requireRefused(t, err, ShareFull)
	require.NoError(t, g.Join(job("b", 1), epoch))
	for range joined - 1 {
		g.Leave(job("a", 1))
	}
	g.Leave(job("b", 1))
	require.Zero(t, g.Tasks())
}

// Retry times of refused callers are spread at the service rate of their share, so that they don't retry together.
func TestRetriesAreSpread(t *testing.T) {
	g := New(rand.New(rand.NewPCG(1, 2)))
	g.SetFleetRate(10)
	for range 10 {
		admit(t, g, job("a", 8))
	}
	perSecond := map[int]int{}
	const callers = 2000
	for range callers {
		refused := requireRefused(t, g.Check(job("a", 20), epoch), DeadlineTooNear)
		wait := refused.Retry.Sub(epoch)
		require.Positive(t, wait)
		require.LessOrEqual(t, wait, maxRetry+time.Second)
		perSecond[int(wait/time.Second)]++
	}
	for second, n := range perSecond {
		require.LessOrEqual(t, n, callers/10, "second %d", second)
	}
	require.GreaterOrEqual(t, len(perSecond), 25)
}

// After any sequence of admissions and ends all capacity is returned, and the limits hold at every step.
func TestCapacityIsReturned(t *testing.T) {
	type admittedJob struct {
		r    Request
		sent int64
	}
	rapid.Check(t, func(t *rapid.T) {
		var g Gate
		g.SetBounds(200, 5000)
		g.SetFleetRate(5)
		g.SetQuota("a", Quota{Starts: 50, Running: 10})
		now := epoch
		var jobs []*admittedJob
		end := func(j *admittedJob) {
			for ; j.sent > 0; j.sent-- {
				g.Done(j.r)
			}
			g.End(j.r)
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			switch {
			case len(jobs) > 0 && rapid.Bool().Draw(t, "end"):
				end(jobs[0])
				jobs = jobs[1:]
			default:
				r := job(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"), rapid.Int64Range(1, 60).Draw(t, "tasks"))
				r.Run = time.Duration(rapid.IntRange(10, 1000).Draw(t, "run")) * time.Millisecond
				r.Size = 125
				r.Issued = now
				r.Deadline = now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "patience")) * time.Second)
				if _, err := g.Admit(r, now); err == nil {
					j := &admittedJob{r: r, sent: rapid.Int64Range(0, r.Tasks).Draw(t, "sent")}
					for range j.sent {
						g.Sent(r)
					}
					jobs = append(jobs, j)
				}
			}
			require.LessOrEqual(t, g.Tasks(), int64(200))
		}
		for _, j := range jobs {
			end(j)
		}
		require.Zero(t, g.Tasks())
		require.Zero(t, g.bytes)
		require.Empty(t, g.Snapshot(now))
		require.Zero(t, g.weights.active)
		for _, team := range g.teams {
			require.Zero(t, team.running)
		}
	})
}

func TestIdleSharesAreEvictedForNewOnes(t *testing.T) {
	var g Gate
	for i := range maxShares {
		require.NoError(t, g.Check(job(fmt.Sprint(i), 1), epoch.Add(time.Duration(i))))
	}
	admit(t, &g, job("busy", 1))
	require.NoError(t, g.Check(job("new", 1), epoch.Add(time.Second)))
	require.Equal(t, maxShares, g.shares)
}

// A team can't take capacity or shares from others by inventing kinds.
func TestATeamThatInventsKindsFillsOnlyItsOwnShare(t *testing.T) {
	var g Gate
	g.SetBounds(9000, 0)
	g.SetWeight("b", "x", 1)
	for i := range 9100 {
		r := job("a", 1)
		r.Kind = fmt.Sprint("kind-", i)
		_, _ = g.Admit(r, epoch)
	}
	for range 1500 {
		admit(t, &g, job("b", 1))
	}
	other := job("b", 1)
	other.Kind = "y"
	admit(t, &g, other)
}
