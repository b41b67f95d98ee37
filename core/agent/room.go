package agent

import (
	"time"

	"persimmonstage/core/needs"
	"persimmonstage/core/slots"
)

// plain is the room of a target without leases: its capacity less the declared needs of what it holds.
type plain struct{ a *Agent }

// Fits compares with the declared needs that are held.
func (p plain) Fits(_, _ string, declared needs.Vector) bool {
	return declared.Fits(p.a.capacity.Sub(p.a.held))
}

// Room returns what the declared needs leave.
func (p plain) Room() needs.Vector { return p.a.capacity.Sub(p.a.held) }

// Size gives the dominant share of the target that the needs take.
func (p plain) Size(_, _ string, n needs.Vector) int64 { return n.DominantShare(p.a.capacity) }

// Take does nothing, since the agent itself counts the declared needs.
func (plain) Take(slots.Lease) error { return nil }

// End does nothing.
func (plain) End(string, time.Time) bool { return true }

// Snapshot adds nothing to the agent's own.
func (plain) Snapshot() *slots.Snapshot { return nil }
