package measure

import (
	"flag"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/mix"
	"persimmonstage/core/score"
	"persimmonstage/io/load"
	"persimmonstage/test/fleet"
)

var (
	measure   = flag.Bool("measure", false, "start fleets and measure them")
	seconds   = flag.Float64("seconds", 10, "how long jobs arrive in each run")
	entries   = flag.Int("entries", 3, "entries of the fleet")
	agents    = flag.Int("agents", 10, "agents of the fleet")
	loads     = flag.String("loads", "0.3,0.6,0.8,0.9,0.95", "shares of the fleet's capacity to offer")
	slow      = flag.Float64("slow", 1, "how many times slower every second target is")
	policy    = flag.String("placement", "", "placement policy of the entries")
	tasks     = flag.Int("tasks", 1, "tasks of each job; 0 draws them")
	runMS     = flag.Int("run-ms", 0, "middle of the run times; 0 takes the mix's")
	rate      = flag.Float64("rate", 200, "jobs per second, where the load isn't given as a share")
	heartbeat = flag.Int("heartbeat-ms", 0, "time between heartbeats")
	leases    = flag.Bool("leases", false, "give each agent a lease service")
	floodKind = flag.String("flood", "least", "kind of the flood")
	cancel    = flag.Float64("cancel", 0, "share of the jobs that are cancelled in waves")
	factor    = flag.Float64("factor", 10, "times the capacity that the flood asks for")
)

const (
	slotsEach = 8
	warmUp    = 2.0 // seconds
)

// rig is a fleet with what a load needs to know of it.
type rig struct {
	*fleet.Fleet
	entries, agents, targets []string
	slots                    float64
}

func newRig(t *testing.T) *rig {
	t.Helper()
	if !*measure {
		t.Skip("measures only with -measure")
	}
	speeds := []float64{1, 1 / *slow}
	f := fleet.NewWith(t, *entries, *agents, fleet.Options{Speeds: speeds, Placement: *policy, HeartbeatMS: *heartbeat, Leases: *leases})
	r := &rig{
		Fleet: f, entries: fleet.Names("entry", *entries), agents: fleet.Names("agent", *agents), targets: fleet.Names("target", *agents),
	}
	for i := range *agents {
		r.slots += slotsEach * speeds[i%2]
	}
	return r
}

func (r *rig) urls(names []string) []string {
	out := make([]string, len(names))
	for i, name := range names {
		out[i] = r.URL(name)
	}
	return out
}

// load gives a load of the flags' kinds at rate jobs per second.
func (r *rig) load(rate, seconds float64) *load.Generator {
	return &load.Generator{
		Entries: r.urls(r.entries), Agents: r.urls(r.agents), Targets: r.urls(r.targets), Kinds: kinds(), Rate: rate, Seconds: seconds,
		Seed: 1, Slots: r.slots, CancelShare: *cancel,
	}
}

func kinds() []mix.Kind { return mix.Fixed(*tasks, time.Duration(*runMS)*time.Millisecond) }

// rateOf gives the jobs per second that take a share of the fleet's capacity.
func (r *rig) rateOf(share float64) float64 { return share * r.slots / mix.MeanWork(kinds()).Seconds() }

func shares(t *testing.T) []float64 {
	t.Helper()
	var out []float64
	for _, s := range strings.Split(*loads, ",") {
		v, err := strconv.ParseFloat(s, 64)
		require.NoError(t, err)
		out = append(out, v)
	}
	return out
}

// TestLoads offers each share of the capacity to one fleet and prints a line for each.
func TestLoads(t *testing.T) {
	r := newRig(t)
	require.NoError(t, r.load(r.rateOf(0.5), warmUp).RunPhase(t.Context(), "warm-up"))
	for _, share := range shares(t) {
		l := r.load(r.rateOf(share), *seconds)
		require.NoError(t, l.RunPhase(t.Context(), "load "+strconv.FormatFloat(share, 'g', -1, 64)))
		require.NoError(t, l.WriteTable(os.Stdout))
	}
}

// TestFlood offers a load without and with a flood beside it, and prints what the load keeps.
func TestFlood(t *testing.T) {
	r := newRig(t)
	l := r.load(r.rateOf(shares(t)[0]), *seconds)
	r.spend(t, "calm", func() float64 {
		require.NoError(t, l.RunPhase(t.Context(), "calm"))
		return completed(l, "calm")
	})
	r.spend(t, "flood", func() float64 {
		require.NoError(t, l.RunFlood(t.Context(), "flood", *floodKind, *factor))
		return completed(l, "flood")
	})
	require.NoError(t, l.WriteTable(os.Stdout))
}

// completed gives the complete jobs of a phase, those of a flood left out if there are others.
func completed(l *load.Generator, phase string) float64 {
	rows := l.Score(phase).Rows()
	return float64(rows[len(rows)-1].Outcomes[score.Complete])
}

// TestIdle prints what entries and agents use without any job.
func TestIdle(t *testing.T) {
	r := newRig(t)
	time.Sleep(time.Duration(warmUp * float64(time.Second)))
	r.spend(t, "idle", func() float64 {
		time.Sleep(time.Duration(*seconds * float64(time.Second)))
		return 0
	})
}

// TestSlope prints what entries and agents use at a rate of jobs.
func TestSlope(t *testing.T) {
	r := newRig(t)
	require.NoError(t, r.load(*rate, warmUp).RunPhase(t.Context(), "warm-up"))
	r.spend(t, "at rate", func() float64 {
		l := r.load(*rate, *seconds)
		require.NoError(t, l.RunPhase(t.Context(), "rate"))
		require.NoError(t, l.WriteTable(os.Stdout))
		return completed(l, "rate")
	})
}

// spend prints what entries and agents used while run ran, which gives the jobs completed.
func (r *rig) spend(t *testing.T, name string, run func() float64) {
	t.Helper()
	groups := []struct {
		name  string
		names []string
	}{{"entry", r.entries}, {"agent", r.agents}}
	var before [2]usage
	for i, g := range groups {
		before[i] = read(t, r.Fleet, g.names)
	}
	begun := time.Now()
	jobs := run()
	took := time.Since(begun).Seconds()
	for i, g := range groups {
		u := read(t, r.Fleet, g.names)
		n := float64(len(g.names))
		t.Logf("%s: each %s of %d entries and %d agents: %.2f%% CPU, %.0f kB resident (%+.0f kB), %.0f control bytes/s; jobs %.0f, %.3f CPU s by all %s",
			name, g.name, len(r.entries), len(r.agents), 100*(u.cpuSeconds-before[i].cpuSeconds)/took/n, u.memoryKB/n,
			(u.memoryKB-before[i].memoryKB)/n, (u.controlBytes-before[i].controlBytes)/took/n, jobs, u.cpuSeconds-before[i].cpuSeconds, g.name)
	}
}
