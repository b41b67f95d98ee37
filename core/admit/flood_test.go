package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/heap"
	"persimmonstage/core/queue"
)

const (
	ms         = time.Millisecond
	simTime    = 70 * time.Second
	floodStart = 10 * time.Second
)

// Targets of issue 5: the least fraction of its throughput that each other share keeps in a flood, and the greatest
// ratio of its p99 to that without the flood.
const (
	keptThroughput = 0.95
	p99Factor      = 2
)

var simWeights = map[string]int64{"senandung": 4, "kowhai": 2, "schools": 2, "flood": 1, "quota": 1}

func otherSources(load float64) []*source {
	each := load / 4
	return []*source{
		{team: "senandung", kind: "stock", load: each, run: between(50, 100), patience: 5 * time.Second, urgency: 5, tasks: 1},
		{team: "senandung", kind: "renewal", load: each, run: between(100, 500), patience: 30 * time.Second, urgency: 2, tasks: 1},
		{team: "kowhai", kind: "labels", load: each, run: between(50, 200), patience: 30 * time.Second, urgency: 3, tasks: 1},
		{team: "schools", kind: "sheets", load: each, run: between(500, 1000), patience: time.Minute, urgency: 1, tasks: 1},
	}
}

func between(from, to int) [2]time.Duration {
	return [2]time.Duration{time.Duration(from) * ms, time.Duration(to) * ms}
}

// floodSources returns floods that each offer ten times the host's capacity.
func floodSources() []*source {
	return []*source{
		{name: "least urgent", team: "flood", kind: "batch", run: between(100, 500), patience: time.Hour, urgency: -1, tasks: 1},
		{name: "most urgent", team: "flood", kind: "rush", run: between(50, 200), patience: 3 * time.Second, urgency: 9, tasks: 1},
		{name: "small jobs", team: "flood", kind: "small", run: between(30, 50), patience: 10 * time.Second, urgency: 9, tasks: 1},
		{name: "huge jobs", team: "flood", kind: "huge", run: between(3000, 5000), patience: time.Hour, urgency: 9, tasks: 160},
		{
			name: "resubmissions", team: "flood", kind: "again", run: between(50, 200),
			patience: 3 * time.Second, urgency: 9, tasks: 1, retries: true,
		},
		{name: "within quota", team: "quota", kind: "rush", run: between(50, 200), patience: 10 * time.Second, urgency: 9, tasks: 1},
		{
			name: "declared short", team: "flood", kind: "batch", run: between(100, 500),
			patience: time.Hour, urgency: 9, tasks: 1, declaredFactor: 0.1,
		},
		{
			name: "declared long", team: "flood", kind: "batch", run: between(100, 500),
			patience: time.Hour, urgency: 9, tasks: 1, declaredFactor: 10,
		},
		{
			name: "beside the labels", team: "kowhai", kind: "checkout", run: between(50, 200),
			patience: 3 * time.Second, urgency: 9, tasks: 1,
		},
	}
}

func floodNamed(name string) *source {
	for _, f := range floodSources() {
		if f.name == name {
			return f
		}
	}
	panic(name)
}

func runSim(o order, load float64, flood *source, seed uint64) (*sim, []*source) {
	s := newSim(o, seed)
	for team, weight := range simWeights {
		s.gate.SetWeight(team, "", weight)
		if q, ok := o.(*queue.Queue[*simJob]); ok {
			q.SetWeight(team, "", weight)
		}
	}
	s.gate.SetWeight("kowhai", "labels", 3)
	if q, ok := o.(*queue.Queue[*simJob]); ok {
		q.SetWeight("kowhai", "labels", 3)
	}
	s.gate.SetQuota("quota", Quota{Starts: 1000})
	others := otherSources(load)
	sources := others
	if flood != nil {
		flood.load = 10
		flood.from = floodStart
		sources = append(sources, flood)
	}
	s.runFor(simTime, sources...)
	return s, others
}

// worst returns the smallest fraction of its throughput that another share keeps, and the largest factor on its p99.
func worst(t *testing.T, flooded, baseline *sim, others []*source) (kept, factor float64) {
	t.Helper()
	kept = 1
	for _, src := range others {
		with, without := flooded.results[src.team+"/"+src.kind], baseline.results[src.team+"/"+src.kind]
		fraction := float64(len(with.responses)) / float64(len(without.responses))
		times := p99(with.responses).Seconds() / p99(without.responses).Seconds()
		t.Logf("%-9s %-8s keeps %.3f, p99 of response %4d -> %4d ms (x%.2f), of wait %4d -> %4d ms, refused %d",
			src.team, src.kind, fraction, p99(without.responses).Milliseconds(), p99(with.responses).Milliseconds(), times,
			p99(without.waits).Milliseconds(), p99(with.waits).Milliseconds(), with.refused)
		kept = min(kept, fraction)
		factor = max(factor, times)
	}
	return kept, factor
}

func TestOtherWorkKeepsItsServiceInAFlood(t *testing.T) {
	for _, load := range []float64{0.4, 0.6} {
		baseline, _ := runSim(&queue.Queue[*simJob]{}, load, nil, 1)
		for _, flood := range floodSources() {
			t.Run(fmt.Sprintf("%s at load %.1f", flood.name, load), func(t *testing.T) {
				t.Parallel()
				flooded, others := runSim(&queue.Queue[*simJob]{}, load, flood, 1)
				kept, factor := worst(t, flooded, baseline, others)
				got := flooded.results[flood.team+"/"+flood.kind]
				t.Logf("flood: offered %d jobs, refused %d, served %d tasks", got.offered, got.refused, len(got.responses))
				require.GreaterOrEqual(t, kept, keptThroughput)
				require.LessOrEqual(t, factor, float64(p99Factor))
				require.NotEmpty(t, got.responses, "the flood is served its own share")
			})
		}
	}
}

// plainOrder serves all tasks in one order, without shares, for comparison.
type plainOrder struct {
	waiting *heap.Heap[*queue.Item[*simJob]]
}

func newPlainOrder(less func(a, b *queue.Item[*simJob]) bool) *plainOrder {
	return &plainOrder{heap.New(less, func(*queue.Item[*simJob], int) {})}
}

func (o *plainOrder) Push(it queue.Item[*simJob]) error { o.waiting.Push(&it); return nil }

func (o *plainOrder) Pop(func(*queue.Item[*simJob], bool) bool) (queue.Item[*simJob], bool) {
	if o.waiting.Len() == 0 {
		return queue.Item[*simJob]{}, false
	}
	return *o.waiting.Remove(0), true
}

func (o *plainOrder) Done(queue.Item[*simJob], time.Duration) {}

func (o *plainOrder) Expire(time.Time) []queue.Item[*simJob] { return nil }

func (o *plainOrder) Snapshot() []queue.State { return nil }

func byArrival(a, b *queue.Item[*simJob]) bool { return a.Value.at.Before(b.Value.at) }

func byUrgency(a, b *queue.Item[*simJob]) bool {
	if a.Urgency != b.Urgency {
		return a.Urgency > b.Urgency
	}
	return byArrival(a, b)
}

// Without fair shares the targets are missed behind the same gate: when the host serves by arrival, and in a flood of
// most urgent jobs when it serves by urgency.
func TestPlainOrdersStarveOtherWork(t *testing.T) {
	cases := []struct {
		name  string
		less  func(a, b *queue.Item[*simJob]) bool
		flood string
	}{
		{"arrival", byArrival, "least urgent"},
		{"arrival", byArrival, "most urgent"},
		{"urgency", byUrgency, "most urgent"},
		{"urgency", byUrgency, "huge jobs"},
	}
	for _, c := range cases {
		t.Run(c.name+" "+c.flood, func(t *testing.T) {
			baseline, _ := runSim(newPlainOrder(c.less), 0.6, nil, 1)
			flooded, others := runSim(newPlainOrder(c.less), 0.6, floodNamed(c.flood), 1)
			kept, factor := worst(t, flooded, baseline, others)
			require.True(t, kept < keptThroughput || factor > p99Factor, "kept %.3f, factor %.2f", kept, factor)
		})
	}
}
