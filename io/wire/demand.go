package wire

import (
	"math"

	"persimmonstage/core/demand"
)

const (
	milli = 1000
	// maxRoutes bounds the routes of a Demand.
	maxRoutes = 256
)

// NewDemand converts work for sending; it returns nil if there is none.
func NewDemand(d *demand.Demand) *Demand {
	if d.All.Arrived <= 0 {
		return nil
	}
	m := &Demand{Routes: make([]*RouteDemand, 0, len(d.Routes))}
	for route, w := range d.Routes {
		if len(m.Routes) == maxRoutes {
			break
		}
		m.Routes = append(m.Routes, &RouteDemand{Route: route, ArrivedMilli: toMilli(w.Arrived), StartedMilli: toMilli(w.Started)})
	}
	return m
}

func toMilli(work float64) uint32 { return uint32(min(math.MaxUint32, max(0, math.Round(milli*work)))) }

// Demand returns the work of a message.
func (m *Demand) Demand() demand.Demand {
	var d demand.Demand
	for i, r := range m.GetRoutes() {
		if i == maxRoutes {
			break
		}
		d.AddRoute(r.GetRoute(), demand.Work{Arrived: float64(r.GetArrivedMilli()) / milli, Started: float64(r.GetStartedMilli()) / milli})
	}
	return d
}
