package agent

import (
	"time"

	"persimmonstage/core/needs"
	"persimmonstage/core/slots"
)

// declaredRoom is the free capacity of a target without leases: its capacity minus the declared needs of the tasks it holds.
type declaredRoom struct{ a *Agent }

// Fits reports whether the declared needs fit into the free capacity.
func (p declaredRoom) Fits(_, _ string, declared needs.Vector) bool {
	return declared.Fits(p.a.capacity.Sub(p.a.held))
}

// Room returns the capacity minus the held declared needs.
func (p declaredRoom) Room() needs.Vector { return p.a.capacity.Sub(p.a.held) }

// Size returns the dominant share of the target that the needs take.
func (p declaredRoom) Size(_, _ string, n needs.Vector) int64 { return n.DominantShare(p.a.capacity) }

// Take does nothing, since the agent counts the declared needs itself.
func (declaredRoom) Take(slots.Lease) error { return nil }

// End does nothing.
func (declaredRoom) End(string, time.Time) bool { return true }

// Snapshot returns nil, since the agent's own snapshot is complete.
func (declaredRoom) Snapshot() *slots.Snapshot { return nil }
