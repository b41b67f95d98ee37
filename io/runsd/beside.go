package runsd

import (
	"persimmonstage/core/pairs"
	"persimmonstage/io/wire"
)

// maxApartKinds bounds the number of kinds that an entry may ask for.
const maxApartKinds = 1024

// addBeside adds to an end what ran beside the attempt.
func addBeside(e *wire.RunEnd, list []pairs.Share) {
	for _, s := range list {
		e.BesideKinds = append(e.BesideKinds, uint32(s.Kind))
		e.BesidePermille = append(e.BesidePermille, uint32(permille*s.Runs))
	}
}

// setApartKinds records the kinds of which an entry has to know whether they run here.
func (l *link) setApartKinds(kinds []uint32) {
	l.apartKinds = l.apartKinds[:0]
	for _, k := range kinds[:min(maxApartKinds, len(kinds))] {
		l.apartKinds = append(l.apartKinds, pairs.Kind(k))
	}
}

// kindsFor returns the kind of each run here that an entry asked for.
func (d *Daemon) kindsFor(l *link) []uint32 {
	var list []uint32
	for _, k := range d.runs.Kinds(l.apartKinds) {
		list = append(list, uint32(k))
	}
	return list
}
