package wire

import "persimmonstage/core/evac"

// NewEvacuations encodes marks of data centres.
func NewEvacuations(list []evac.Mark) []*Evacuation {
	var out []*Evacuation
	for _, m := range list {
		out = append(out, &Evacuation{DataCentre: m.DataCentre, Offset: m.Offset, Evacuated: m.Evacuated})
	}
	return out
}

// Marks decodes marks of data centres.
func Marks(list []*Evacuation) []evac.Mark {
	var out []evac.Mark
	for _, m := range list {
		out = append(out, evac.Mark{DataCentre: m.GetDataCentre(), Offset: m.GetOffset(), Evacuated: m.GetEvacuated()})
	}
	return out
}
