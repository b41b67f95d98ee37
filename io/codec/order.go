package codec

import (
	"math"
	"time"

	"persimmonstage/core/jobkey"
	"persimmonstage/core/needs"
	"persimmonstage/core/order"
	"persimmonstage/io/wire"
)

// EncodeNeeds returns the protobuf form of v.
func EncodeNeeds(v needs.Vector) *wire.Needs {
	return &wire.Needs{
		Slots: uint32(v.Slots), Cores: uint32(v.Cores),
		MemoryMb: uint32(v.MemoryMB), Accelerators: uint32(v.Accelerators),
	}
}

// DecodeNeeds returns the vector of its protobuf form; nil gives the zero vector.
func DecodeNeeds(n *wire.Needs) needs.Vector {
	return needs.Vector{
		Slots: int(n.GetSlots()), Cores: int(n.GetCores()),
		MemoryMB: int(n.GetMemoryMb()), Accelerators: int(n.GetAccelerators()),
	}
}

// EncodeStart returns the protobuf form of an order to start a task.
func EncodeStart(o *order.Order) *wire.Start {
	return &wire.Start{
		Attempt: o.Attempt, Team: o.Key.Team, Id: o.Key.ID, Index: uint32(o.Index), Shard: uint32(o.Shard),
		Epoch: o.Epoch, Kind: o.Kind, Needs: EncodeNeeds(o.Needs), DeadlineNs: o.Deadline.UnixNano(),
		ExpectedMs: uint32(o.Expected.Milliseconds()), Payload: o.Payload, Digest: o.Digest[:],
		MaxWaitMs: encodeLimit(o.MaxWait), DelayMs: encodeLimit(o.Delay),
	}
}

// DecodeStart returns the order of its protobuf form.
func DecodeStart(s *wire.Start) *order.Order {
	o := &order.Order{
		Attempt: s.Attempt, Key: jobkey.Key{Team: s.Team, ID: s.Id}, Index: int(s.Index), Shard: int(s.Shard),
		Epoch: s.Epoch, Kind: s.Kind, Needs: DecodeNeeds(s.Needs), Deadline: time.Unix(0, s.DeadlineNs),
		Expected: time.Duration(s.ExpectedMs) * time.Millisecond, Payload: s.Payload,
		MaxWait: time.Duration(s.MaxWaitMs) * time.Millisecond, Delay: time.Duration(s.DelayMs) * time.Millisecond,
	}
	copy(o.Digest[:], s.Digest)
	return o
}

// EncodeReserve returns the protobuf form of a reservation, which has no payload.
func EncodeReserve(o *order.Order) *wire.Reserve {
	return &wire.Reserve{
		Attempt: o.Attempt, Team: o.Key.Team, Id: o.Key.ID, Index: uint32(o.Index), Shard: uint32(o.Shard),
		Epoch: o.Epoch, Kind: o.Kind, Needs: EncodeNeeds(o.Needs), DeadlineNs: o.Deadline.UnixNano(),
		ExpectedMs: uint32(o.Expected.Milliseconds()),
	}
}

// DecodeReserve returns the reservation of its protobuf form.
func DecodeReserve(r *wire.Reserve) *order.Order {
	return &order.Order{
		Attempt: r.Attempt, Key: jobkey.Key{Team: r.Team, ID: r.Id}, Index: int(r.Index), Shard: int(r.Shard),
		Epoch: r.Epoch, Kind: r.Kind, Needs: DecodeNeeds(r.Needs), Deadline: time.Unix(0, r.DeadlineNs),
		Expected: time.Duration(r.ExpectedMs) * time.Millisecond,
	}
}

// encodeLimit returns a time limit in milliseconds, where 0 means none: a positive limit is never rounded to 0, and one that
// exceeds a uint32 becomes the largest uint32.
func encodeLimit(d time.Duration) uint32 {
	switch ms := d.Milliseconds(); {
	case d <= 0:
		return 0
	case ms < 1:
		return 1
	case ms > math.MaxUint32:
		return math.MaxUint32
	default:
		return uint32(ms)
	}
}
