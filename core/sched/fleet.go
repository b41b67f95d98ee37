package sched

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"persimmonstage/core/demand"
)

const (
	// fleetPeriod is the time between two sums of the agents' reports.
	fleetPeriod = 50 * time.Millisecond
	// maxFairness bounds the correction of the rate of starts, as both served fractions are measured.
	maxFairness = 2
	// fairnessExponent is the exponent of the ratio of served fractions.
	fairnessExponent = 4
	// yieldGain is the fraction of jobs that are refused for each part by which an entry is served better than the others.
	yieldGain = 60
	// maxYield is the fraction served at the other entries up to which an entry refuses jobs for the others' benefit: above, room isn't
	// what a few of them lack.
	maxYield = 0.98
	// minOthers is the least fraction of a route's work that the other entries have to be asked for to be compared with.
	minOthers = 0.1
	// usualJobs is the number of jobs, served as at the other entries, that are added to what was measured here: a few jobs say little.
	usualJobs = 10
)

// fleet holds the demand at all entries as agents report it. The load pattern is scarce room that entries with unequal traffic
// compete for: who is refused must not depend on which entry a caller reaches.
type fleet struct {
	reports map[string]fleetReport // by target
	sum     demand.Demand
	summed  int       // number of reports in sum
	next    time.Time // when the reports are summed next
}

type fleetReport struct {
	demand demand.Demand
	until  time.Time
}

// record keeps what an agent reports.
func (f *fleet) record(now time.Time, target string, d demand.Demand) {
	if f.reports == nil {
		f.reports = make(map[string]fleetReport)
	}
	f.reports[target] = fleetReport{d, now.Add(demand.TTL)}
}

// update sums the reports of all agents. Each includes all entries that the agent knows, so only ratios of the sums are used.
func (f *fleet) update(now time.Time) {
	if now.Before(f.next) {
		return
	}
	f.next = now.Add(fleetPeriod)
	f.sum.Reset()
	for target, r := range f.reports {
		if now.After(r.until) {
			delete(f.reports, target)
			continue
		}
		f.sum.Add(&r.demand)
	}
	f.summed = len(f.reports)
}

// known reports whether agents have reported demand recently.
func (f *fleet) known() bool { return f.sum.All.Started > 0 }

// FleetDemand takes an agent's report of the demand at all entries that it knows.
func (s *Sched) FleetDemand(now time.Time, target string, d demand.Demand) {
	s.fleet.record(now, target, d)
}

// Demand returns this entry's own demand; the caller must not keep it.
func (s *Sched) Demand(now time.Time) *demand.Demand { return s.shares.own(now) }

// served returns the fractions of the work of a job's route that are served here and at the other entries, both 1 if unknown.
func (s *Sched) served(now time.Time, j *job) (here, elsewhere float64) {
	d := s.shares.demand[j.batch.Route.Name]
	if d == nil || !s.fleet.known() {
		return 1, 1
	}
	all, own, n := s.fleet.sum.Routes[d.hash], d.work(now), float64(s.fleet.summed)
	others := demand.Work{Arrived: all.Arrived - n*own.Arrived, Started: all.Started - n*own.Started}
	if others.Arrived < minOthers*all.Arrived || others.Started <= 0 {
		return 1, 1
	}
	elsewhere = min(1, others.Served())
	usual := usualJobs * float64(j.batch.Tasks) * j.taskWork()
	return (own.Started + usual*elsewhere) / (own.Arrived + usual), elsewhere
}

// fairness returns the factor on the time that a new job may be expected to wait, from the served fractions of its route's work: above 1
// if less is served here than at the others.
func fairness(here, elsewhere float64) float64 {
	return math.Min(maxFairness, math.Max(1/float64(maxFairness), math.Pow(elsewhere/here, fairnessExponent)))
}

// Yielded returns how many jobs were refused for the benefit of other entries.
func (s *Sched) Yielded() uint64 { return s.yielded }

// yields reports whether a new job is refused for the benefit of the other entries, where less of its route's work is served.
func (s *Sched) yields(here, elsewhere float64) bool {
	if elsewhere >= maxYield || here <= elsewhere || s.rng.Float64() >= yieldGain*(here-elsewhere) {
		return false
	}
	s.yielded++
	return true
}

// routeHash identifies a route in reports of demand.
func routeHash(route string) uint32 { return uint32(xxhash.Sum64String(route)) }
