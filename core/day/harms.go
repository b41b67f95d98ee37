package day

import (
	"cmp"
	"slices"
	"time"

	"persimmonstage/core/cause"
	"persimmonstage/core/digest"
	"persimmonstage/core/ended"
	"persimmonstage/core/event"
	"persimmonstage/core/series"
	"persimmonstage/core/times"
)

const (
	// maxHarms bounds the harms held separately by time; above it the time resolution is reduced.
	maxHarms = 20_000
	// Cancellations are a wave if they are at least minWaveJobs and at least 1/waveDivisor of the jobs in a record.
	minWaveJobs = 20
	waveDivisor = 2
)

// steps are the time resolutions of harms, from that of records to the whole day.
var steps = [...]time.Duration{time.Minute, 5 * time.Minute, 15 * time.Minute, time.Hour, 6 * time.Hour, 48 * time.Hour}

// harms counts the jobs that suffered by time, so that they can be matched with the events of that time.
type harms struct {
	step int
	jobs map[harmKey]*harm
}

type harmKey struct {
	at   time.Time
	work workKey
	series.Harm
}

type harm struct {
	from, to time.Time
	jobs     int64
	worst    time.Duration
}

// add counts the jobs of s that suffered in from..to and returns their numbers by kind of harm, with waves named.
func (h *harms) add(work workKey, from, to time.Time, s *series.Series) map[series.Harm]int64 {
	suffered := withWaves(s)
	for what, n := range suffered {
		key := harmKey{at: from.UTC().Truncate(steps[h.step]), work: work, Harm: what}
		h.put(key, harm{from: from, to: to, jobs: n, worst: s.WorstLate()})
	}
	for len(h.jobs) > maxHarms && h.step+1 < len(steps) {
		h.coarsen()
	}
	return suffered
}

func (h *harms) put(key harmKey, more harm) {
	if h.jobs == nil {
		h.jobs = make(map[harmKey]*harm)
	}
	known, ok := h.jobs[key]
	if !ok {
		h.jobs[key] = &more
		return
	}
	known.jobs += more.jobs
	known.worst = max(known.worst, more.worst)
	if more.from.Before(known.from) {
		known.from = more.from
	}
	if more.to.After(known.to) {
		known.to = more.to
	}
}

func (h *harms) clone() harms {
	c := harms{step: h.step, jobs: make(map[harmKey]*harm, len(h.jobs))}
	for key, n := range h.jobs {
		own := *n
		c.jobs[key] = &own
	}
	return c
}

func (h *harms) coarsen() {
	h.step++
	old := h.jobs
	h.jobs = nil
	for key, n := range old {
		key.at = key.at.Truncate(steps[h.step])
		h.put(key, *n)
	}
}

// withWaves returns the harms of s, with cancellations renamed to a wave if they were many and at least half of its jobs.
func withWaves(s *series.Series) map[series.Harm]int64 {
	suffered := s.Suffered()
	var cancelled int64
	for what, n := range suffered {
		if what.Cause == cause.Cancelled {
			cancelled += n
		}
	}
	if cancelled < minWaveJobs || cancelled*waveDivisor < s.Ended() {
		return suffered
	}
	wave := make(map[series.Harm]int64, len(suffered))
	for what, n := range suffered {
		if what.Cause == cause.Cancelled {
			what.Cause = cause.CancelWave
		}
		wave[what] += n
	}
	return wave
}

// explained returns the harms of the day, each with the sentence that describes its cause.
func (h *harms) explained(spans []event.Event) []digest.Harm {
	type key struct {
		work     workKey
		what     series.Harm
		sentence string
	}
	sums := make(map[key]*digest.Harm)
	for k, n := range h.jobs {
		c, sentence := explain(k.Harm, k.work, n.from, n.to, spans)
		id := key{k.work, k.Harm, sentence}
		sum, ok := sums[id]
		if !ok {
			sum = &digest.Harm{
				Team: k.work.team, Kind: k.work.kind, Outcome: k.Outcome, Late: k.Late,
				Cause: c, Sentence: sentence, First: n.from, Last: n.to,
			}
			sums[id] = sum
		}
		sum.Jobs += n.jobs
		sum.WorstLate = max(sum.WorstLate, n.worst)
		sum.First = times.Earlier(sum.First, n.from)
		sum.Last = times.Later(sum.Last, n.to)
	}
	all := make([]digest.Harm, 0, len(sums))
	for _, sum := range sums {
		all = append(all, *sum)
	}
	slices.SortFunc(all, func(a, b digest.Harm) int {
		return cmp.Or(
			a.First.Compare(b.First), cmp.Compare(a.Team, b.Team), cmp.Compare(a.Kind, b.Kind),
			cmp.Compare(a.Sentence, b.Sentence), cmp.Compare(a.Outcome, b.Outcome))
	})
	return all
}

// add counts the jobs of the series; suffered holds its harms, with waves named.
func (s *slot) add(of *series.Series, suffered map[series.Harm]int64) {
	s.fine += of.Ended()
	for what, n := range suffered {
		if what.Cause.CallerCaused() && !what.Late {
			continue
		}
		s.fine -= n
		switch {
		case what.Outcome == ended.Failed:
			s.failed += n
		case what.Outcome == ended.Refused:
			s.refused += n
		case what.Outcome == ended.Unknown:
			s.unknown += n
		default:
			s.late += n
		}
	}
}
