package codec

import (
	"time"

	"persimmonstage/core/load"
	"persimmonstage/core/rank"
	"persimmonstage/io/wire"
)

// EncodeLoads returns the protobuf form of the loads by class, without the empty classes at the end.
func EncodeLoads(loads [rank.Classes]load.Load) []*wire.Load {
	n := len(loads)
	for n > 0 && loads[n-1] == (load.Load{}) {
		n--
	}
	out := make([]*wire.Load, n)
	for i, l := range loads[:n] {
		out[i] = &wire.Load{Held: EncodeNeeds(l.Held), Tasks: uint32(l.Tasks), WorkMs: uint64(l.Work.Milliseconds())}
	}
	return out
}

// DecodeLoads returns the loads by class; classes that are left out are empty, and unknown classes are dropped.
func DecodeLoads(list []*wire.Load) [rank.Classes]load.Load {
	var out [rank.Classes]load.Load
	for i, l := range list {
		if i < len(out) {
			out[i] = load.Load{
				Held: DecodeNeeds(l.GetHeld()), Tasks: int(l.GetTasks()), Work: time.Duration(l.GetWorkMs()) * time.Millisecond,
			}
		}
	}
	return out
}
