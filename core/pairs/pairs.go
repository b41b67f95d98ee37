package pairs

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// maxPairs bounds the memory: about 0.5 MB.
	maxPairs = 4096
	// maxTargets bounds the number of targets whose bias is kept.
	maxTargets = 1024
	// maxDeviation limits the deviation of a single run, as some take long for reasons of their own.
	maxDeviation = 1
	// startVariance is assumed for a kind until its runs show their own.
	startVariance = 0.16
	// varianceSamples, biasSamples and meanSamples are the numbers of samples in the moving means.
	varianceSamples = 200
	biasSamples     = 20
	meanSamples     = 50
	// halfLife is the time in which evidence loses half of its weight. Kinds that are kept apart yield little of it, so they are tried
	// together again after a few such times.
	halfLife = 5 * time.Minute
	// decayPeriod is the time between two reductions of the evidence.
	decayPeriod = 10 * time.Second
)

// Pairs estimates by pairs of kinds how much a run slows another one down that runs beside it; create it with New.
//
// Run times are compared within a job, as its tasks share the error of its expected run time, and relative to the bias of each target.
// So neither a long job nor a slow target looks like a pair.
type Pairs struct {
	kinds     map[Kind]*kind
	targets   map[string]*mean
	count     int
	partners  map[Kind][]Partner
	nextDecay time.Time
	logs      []float64 // reused by Learn
	kindList  []Kind
}

// kind is a kind whose runs have ended here.
type kind struct {
	route    string
	variance mean // of the logarithms within a job
	level    mean // of the logarithms of jobs of a single task
	pairs    map[Kind]*pair
}

// mean is a moving mean of at most limit samples.
type mean struct {
	value   float64
	samples float64
}

func (m *mean) add(v, limit float64) {
	m.samples = min(limit, m.samples+1)
	m.value += (v - m.value) / m.samples
}

// New returns an empty model.
func New() *Pairs {
	return &Pairs{kinds: make(map[Kind]*kind), targets: make(map[string]*mean)}
}

// Learn adds the tasks of a job that have run to their end and returns the pairs that changed.
func (p *Pairs) Learn(route string, samples []Sample) []Change {
	k := p.kind(route)
	p.logs = p.logs[:0]
	for i := range samples {
		p.logs = append(p.logs, p.unexplained(k, &samples[i]))
	}
	centre(p.logs, &k.level)
	if !p.learnNoise(k, samples) {
		return nil
	}
	var changes []Change
	for _, other := range p.besides(k, samples) {
		pr := p.pair(k, other)
		if pr == nil {
			continue
		}
		evidence, product := p.evidence(pr, other, samples)
		pr.add(evidence, product)
		if pr.review(k.variance.value) {
			changes = append(changes, p.change(k, other, pr))
		}
	}
	p.refresh(changes)
	return changes
}

// Decay reduces the weight of old evidence and returns the pairs that are no longer kept apart for lack of it.
func (p *Pairs) Decay(now time.Time) []Change {
	if now.Before(p.nextDecay) {
		return nil
	}
	elapsed := decayPeriod
	if p.nextDecay.IsZero() {
		elapsed = 0
	} else {
		elapsed += now.Sub(p.nextDecay)
	}
	p.nextDecay = now.Add(decayPeriod)
	factor := math.Exp2(-float64(elapsed) / float64(halfLife))
	var changes []Change
	for _, k := range p.kinds {
		for other, pr := range k.pairs {
			pr.scale(factor)
			if pr.apart && pr.review(k.variance.value) {
				changes = append(changes, p.change(k, other, pr))
			}
		}
	}
	slices.SortFunc(changes, compareChanges)
	p.refresh(changes)
	return changes
}

// Partners returns the kinds to keep a kind apart from.
func (p *Pairs) Partners(k Kind) []Partner { return p.partners[k] }

// Apart returns all kinds that are to be kept apart from some kind, in ascending order.
func (p *Pairs) Apart() []Kind {
	list := make([]Kind, 0, len(p.partners))
	for k := range p.partners {
		list = append(list, k)
	}
	slices.Sort(list)
	return list
}

// Estimates returns the pairs that are kept apart, the largest factor first.
func (p *Pairs) Estimates() []Change {
	var list []Change
	for _, k := range p.kinds {
		for other, pr := range k.pairs {
			if pr.apart {
				list = append(list, p.change(k, other, pr))
			}
		}
	}
	slices.SortFunc(list, compareChanges)
	return list
}

// compareChanges sorts the largest factor first.
func compareChanges(a, b Change) int {
	return cmp.Or(cmp.Compare(b.Factor, a.Factor), cmp.Compare(a.Slowed, b.Slowed), cmp.Compare(a.By, b.By))
}

func (p *Pairs) kind(route string) *kind {
	id := KindOf(route)
	k := p.kinds[id]
	if k == nil {
		k = &kind{route: route, variance: mean{value: startVariance, samples: 1}, pairs: make(map[Kind]*pair)}
		p.kinds[id] = k
	}
	return k
}

// unexplained returns the logarithm of a run time without the bias of its target and the estimated effects of the runs beside.
func (p *Pairs) unexplained(k *kind, s *Sample) float64 {
	v := s.Log
	if b := p.targets[s.Target]; b != nil {
		v -= b.value
	}
	for _, o := range s.Beside {
		if pr := k.pairs[o.Kind]; pr != nil {
			v -= pr.slope() * o.Runs
		}
	}
	return v
}

// centre subtracts from the values of a job their mean, or from a single one the level of such jobs.
func centre(values []float64, level *mean) {
	centre := 0.0
	for _, v := range values {
		centre += v / float64(len(values))
	}
	if len(values) == 1 {
		level.add(values[0], meanSamples)
		centre = level.value
	}
	for i := range values {
		values[i] = min(maxDeviation, max(-maxDeviation, values[i]-centre))
	}
}

// learnNoise updates the variance of a kind's run times and the biases of the targets, and reports whether all of these are known: a new
// target that is slow must not look like a pair.
func (p *Pairs) learnNoise(k *kind, samples []Sample) bool {
	// The mean of a job includes the deviation of each of its tasks.
	rest := float64(max(1, len(samples)-1))
	correction := max(1, float64(len(samples))/rest)
	sum, known := 0.0, true
	for i := range samples {
		sum += p.logs[i] * p.logs[i]
		b := p.targets[samples[i].Target]
		if b == nil {
			if len(p.targets) >= maxTargets {
				clear(p.targets)
			}
			b = &mean{}
			p.targets[samples[i].Target] = b
		}
		known = known && b.samples == biasSamples
		b.add(b.value+correction*p.logs[i], biasSamples)
	}
	if known {
		k.variance.add(sum/rest, varianceSamples)
	}
	return known
}

// besides returns the kinds that samples tell something about: those that ran beside, and for a single task also those that didn't.
func (p *Pairs) besides(k *kind, samples []Sample) []Kind {
	list := p.kindList[:0]
	for i := range samples {
		for _, o := range samples[i].Beside {
			list = append(list, o.Kind)
		}
	}
	if len(samples) == 1 {
		for o := range k.pairs {
			list = append(list, o)
		}
	}
	slices.Sort(list)
	p.kindList = slices.Compact(list)
	return p.kindList
}

// evidence returns what a job adds to the sums of a pair.
func (p *Pairs) evidence(pr *pair, other Kind, samples []Sample) (evidence, product float64) {
	average := 0.0
	for i := range samples {
		average += samples[i].runs(other) / float64(len(samples))
	}
	if len(samples) == 1 {
		pr.meanRuns += (average - pr.meanRuns) / meanSamples
		average = pr.meanRuns
	}
	slope := pr.slope()
	for i := range samples {
		d := samples[i].runs(other) - average
		evidence += d * d
		product += d * (p.logs[i] + slope*d)
	}
	return evidence, product
}

// runs returns the number of runs of a kind beside a sample.
func (s *Sample) runs(k Kind) float64 {
	for _, o := range s.Beside {
		if o.Kind == k {
			return o.Runs
		}
	}
	return 0
}

// pair returns the pair of a kind that is slowed down and another one, nil if there is no memory for it.
func (p *Pairs) pair(k *kind, by Kind) *pair {
	pr := k.pairs[by]
	if pr != nil {
		return pr
	}
	if p.count >= maxPairs {
		p.reduce(k)
	}
	if p.count >= maxPairs {
		return nil
	}
	pr = &pair{}
	k.pairs[by] = pr
	p.count++
	return pr
}

// reduce drops the half of the pairs with the least evidence, except those that are kept apart, and the kinds other than the current one
// without any.
func (p *Pairs) reduce(current *kind) {
	var all []float64
	for _, k := range p.kinds {
		for _, pr := range k.pairs {
			all = append(all, pr.evidence)
		}
	}
	slices.Sort(all)
	limit := all[len(all)/2]
	for id, k := range p.kinds {
		for by, pr := range k.pairs {
			if pr.evidence <= limit && !pr.apart {
				delete(k.pairs, by)
				p.count--
			}
		}
		if len(k.pairs) == 0 && k != current {
			delete(p.kinds, id)
		}
	}
}

func (p *Pairs) change(k *kind, by Kind, pr *pair) Change {
	name := fmt.Sprintf("%08x", uint32(by))
	if o := p.kinds[by]; o != nil {
		name = o.route
	}
	return Change{
		Slowed: k.route, By: name, Apart: pr.apart, Factor: math.Exp(pr.slope()), Error: pr.deviation(k.variance.value), Evidence: pr.evidence,
	}
}

// refresh recomputes the partners of all kinds after changes.
func (p *Pairs) refresh(changes []Change) {
	if len(changes) == 0 {
		return
	}
	p.partners = make(map[Kind][]Partner)
	for slowed, k := range p.kinds {
		for by, pr := range k.pairs {
			if pr.apart {
				p.addPartner(slowed, by, pr.slope())
				if by != slowed {
					p.addPartner(by, slowed, pr.slope())
				}
			}
		}
	}
	for _, list := range p.partners { // in an order that doesn't depend on the maps, as slowdowns are added up
		slices.SortFunc(list, func(a, b Partner) int { return cmp.Compare(a.Kind, b.Kind) })
	}
}

func (p *Pairs) addPartner(k, other Kind, slowdown float64) {
	list := p.partners[k]
	for i := range list {
		if list[i].Kind == other {
			list[i].Slowdown += slowdown
			return
		}
	}
	p.partners[k] = append(list, Partner{other, slowdown})
}
