package pairs

import "math"

const (
	// minFactor is the slowdown from which a pair is kept apart: paces of targets are off by about 10 %, so less isn't noticed by callers.
	minFactor = 1.1
	// releaseFactor is the slowdown below which a pair is no longer kept apart.
	releaseFactor = 1.05
	// foundErrors and releaseErrors are the numbers of standard errors by which the estimate has to exceed minFactor and releaseFactor:
	// estimates are checked after every job, for each of many pairs.
	foundErrors   = 4
	releaseErrors = 2
	// priorEvidence is the evidence for no slowdown that each pair begins with.
	priorEvidence = 1
	// maxEvidence limits the weight of old runs, so that a changed factor shows after some hundreds of them.
	maxEvidence = 100
)

// pair is the estimate of how much a run of one kind slows another one down.
type pair struct {
	evidence float64 // sum of the squared deviations of the number of runs beside
	product  float64 // sum of their products with the deviations of the run times' logarithms
	meanRuns float64 // beside a job of a single task
	apart    bool
}

// slope returns the estimated effect of one run beside on the logarithm of the run time.
func (p *pair) slope() float64 { return p.product / (p.evidence + priorEvidence) }

// deviation returns the standard error of slope for a variance of the run times' logarithms.
func (p *pair) deviation(variance float64) float64 {
	return math.Sqrt(variance / (p.evidence + priorEvidence))
}

func (p *pair) add(evidence, product float64) {
	p.evidence += evidence
	p.product += product
	if p.evidence > maxEvidence {
		p.scale(maxEvidence / p.evidence)
	}
}

func (p *pair) scale(f float64) {
	p.evidence *= f
	p.product *= f
}

// review updates apart and reports whether it changed. The two limits keep a pair close to one of them from alternating.
func (p *pair) review(variance float64) bool {
	before, slope, dev := p.apart, p.slope(), p.deviation(variance)
	switch {
	case p.apart:
		p.apart = slope-releaseErrors*dev >= math.Log(releaseFactor)
	default:
		p.apart = slope-foundErrors*dev >= math.Log(minFactor)
	}
	return p.apart != before
}
