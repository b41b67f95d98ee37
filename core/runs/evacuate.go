package runs

import (
	"time"

	"persimmonstage/core/evac"
)

// SetEvacuations makes the table follow which data centres are evacuated; own is that of the agent, which counts until a target has
// announced its own. It is called before the first announcement.
func (r *Runs) SetEvacuations(t *evac.Table, own string) { r.evacuations, r.ownDataCentre = t, own }

// EvacuationsChanged refuses the orders that wait if the target's data centre has been evacuated. Runs that go on may end.
func (r *Runs) EvacuationsChanged(now time.Time) {
	if r.evacuated() {
		r.dropWaiting(now)
	}
	r.out.Changed()
}

// evacuated reports whether the target's data centre is evacuated, so that nothing may be started there.
func (r *Runs) evacuated() bool { return r.evacuations.Holds(r.dataCentre()) }

// dataCentre returns the target's data centre.
func (r *Runs) dataCentre() string {
	if r.instance == nil || r.instance.DataCentre == "" {
		return r.ownDataCentre
	}
	return r.instance.DataCentre
}
