package regret_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/regret"
)

// logs writes log lines at times in milliseconds.
type logs struct{ report *regret.Report }

func (l logs) line(ms int, role, name, message, fields string) {
	at := time.UnixMilli(1_700_000_000_000 + int64(ms)).UTC().Format(time.RFC3339Nano)
	l.report.Add(fmt.Sprintf(`%d.0 %s {"time":%q,"role":%q,"name":%q,"message":%q,%s}`, ms, name, at, role, name, message, fields))
}

func (l logs) target(ms, millicores int) {
	l.line(ms, "agent", "a-1", "target state", fmt.Sprintf(`"millicores":%d,"pace-permille":1000`, millicores))
}

// taken is a job of one task of 100 ms on one core.
func (l logs) taken(ms, n int) {
	l.line(ms, "entry", "e-1", "job taken", fmt.Sprintf(
		`"id":"%016x","route":"q","tasks":1,"millicores":1000,"expected-ms":100,"objective-ms":200,"deadline-ms":1500`, n))
}

func (l logs) ended(ms, n int, fate string) {
	l.line(ms, "entry", "e-1", "job ended", fmt.Sprintf(`"id":"%016x","fate":%q,"agents":1`, n, fate))
}

func TestRefusalsBeyondTheCapacityAreNotRegretted(t *testing.T) {
	l := logs{regret.New(nil)}
	l.target(0, 1000)
	for n := range 10 { // one core can do three of them within 300 ms
		l.taken(10, n)
	}
	for n := range 2 {
		l.ended(110+100*n, n, "done")
	}
	for n := range 8 {
		l.ended(10, 2+n, "refused")
	}
	rows := l.report.Rows()
	require.Equal(t, 10, rows[0].Jobs)
	require.InDelta(t, 10, rows[0].Owed, 1e-9)
	require.InDelta(t, 2, rows[0].Earned, 1e-9)
	require.InDelta(t, 8, rows[0].Lost["refused"], 1e-9)
	require.GreaterOrEqual(t, rows[0].Bound, 2.0)
	require.Less(t, rows[0].Bound, 4.5, "the capacity until the objectives, and a fifth of what is possible later")
}

func TestRefusalsBesideFreeCapacityAreRegretted(t *testing.T) {
	l := logs{regret.New(map[string]float64{"q": 3})}
	l.target(0, 10_000)
	for n := range 5 {
		l.taken(10, n)
		l.ended(10, n, "refused")
	}
	rows := l.report.Rows()
	require.InDelta(t, 0, rows[0].Earned, 1e-9)
	require.InDelta(t, 15, rows[0].Bound, 1e-9)
}

func TestTimeWithoutTheAgentHasNoCapacity(t *testing.T) {
	l := logs{regret.New(nil)}
	l.target(0, 10_000)
	l.taken(900, 1)
	l.line(1900, "agent", "a-1", "agent started", `"incarnation":"2"`)
	rows := l.report.Rows()
	require.InDelta(t, 0, rows[0].Bound, 1e-9, "its last line was at 0")
	require.InDelta(t, 1, rows[0].Lost["entry lost"], 1e-9)
}

func TestAJobThatIsSentAgainCountsOnce(t *testing.T) {
	l := logs{regret.New(nil)}
	l.target(0, 10_000)
	l.taken(10, 1)
	l.taken(600, 1)
	l.ended(700, 1, "done")
	l.line(800, "entry", "e-1", "task moved", `"id":"0000000000000002"`)
	rows := l.report.Rows()
	require.Equal(t, 1, rows[0].Jobs)
	require.Zero(t, rows[0].Earned, "three objectives after its first arrival")
}

func TestMemoryDoesNotGrowWithTheLogs(t *testing.T) {
	l := logs{regret.New(nil)}
	for s := range 200 {
		l.target(1000*s, 1000)
		l.taken(1000*s+1, s)
		l.ended(1000*s+101, s, "done")
	}
	require.Less(t, l.report.Open(), 40)
	total := 0
	for _, r := range l.report.Rows() {
		total += r.Jobs
	}
	require.Equal(t, 200, total)
}

func TestErrorsWithLongJobsAreCounted(t *testing.T) {
	l := logs{regret.New(nil)}
	l.target(0, 10_000)
	for n, end := range []string{
		`"fate":"unfinished","reason":"too-long"`, `"fate":"refused","reason":"too-long"`, `"fate":"unfinished","reason":"no-time-left"`,
		`"fate":"unfinished","reason":"deadline"`, `"fate":"refused","reason":"overload"`,
		`"fate":"done","reason":"","forecasts":3,"early":1`, `"fate":"done","reason":"","forecasts":3,"early":0`,
	} {
		l.taken(10, n)
		l.line(110, "entry", "e-1", "job ended", fmt.Sprintf(`"id":"%016x","agents":1,%s`, n, end))
	}
	rows := l.report.Rows()
	require.Equal(t, regret.Errors{GivenUp: 3, Kept: 1, Forecasts: 6, Early: 1}, rows[0].Errors)
	require.InDelta(t, 0.5, rows[0].Errors.Wrongly(), 1e-9)
	require.Zero(t, regret.Errors{GivenUp: 3}.Wrongly())
}
