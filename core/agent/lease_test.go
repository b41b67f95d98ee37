package agent_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/agent"
	"persimmonstage/core/jobkey"
	"persimmonstage/core/ledger"
	"persimmonstage/core/needs"
	"persimmonstage/core/order"
	"persimmonstage/core/result"
	"persimmonstage/core/slots"
)

var start = time.Unix(1_000_000, 0)

// host is an agent with leases and records its effects.
type host struct {
	core          *agent.Agent
	slots         slots.Slots
	ledger        *ledger.Ledger
	leaseRequests []string
	endedLeases   []string
	ran           []int
	refused       []string
	results       []string
}

func (h *host) Run(o *order.Order)                       { h.ran = append(h.ran, o.Index) }
func (h *host) Grant(string, uint64)                     {}
func (h *host) Refuse(_ string, _ uint64, reason string) { h.refused = append(h.refused, reason) }
func (h *host) End(_ string, _ int, r *result.Result)    { h.results = append(h.results, r.Reason) }

func (h *host) Admit(time.Time, int, uint64, string) error { return nil }

// platform records the agent's requests to the lease service.
type platform struct{ h *host }

func (p platform) Take(l slots.Lease, _ time.Time) {
	p.h.leaseRequests = append(p.h.leaseRequests, l.Key)
}
func (p platform) End(key string) { p.h.endedLeases = append(p.h.endedLeases, key) }

func newHost() *host {
	h := &host{ledger: ledger.New(ledger.Config{Since: start})}
	capacity := needs.Vector{Slots: 4, MemoryMB: 8000}
	h.slots.SetCapacity(capacity)
	h.core = agent.New(h, h, h.ledger, capacity)
	h.core.SetLeases(&h.slots, platform{h})
	return h
}

func (h *host) order(index, memory int) {
	h.core.Order(start, "entry", &order.Order{
		Attempt: uint64(index), Key: jobkey.Key{Team: "kits", ID: "a"}, Index: index, Kind: "cut",
		Needs: needs.Vector{Slots: 1, MemoryMB: memory}, Deadline: start.Add(time.Minute),
	})
}

func (h *host) lease(key string) { h.core.LeaseAnswered(start, key, start.Add(10*time.Second), "") }

func (h *host) recorded(index uint32) bool {
	_, ok := h.ledger.Task(ledger.Key{Team: "kits", ID: "a", Index: index}, 0)
	return ok
}

func TestAStartIsRecordedAndSentOnlyUnderALease(t *testing.T) {
	h := newHost()
	h.order(1, 1000)
	require.Equal(t, []string{"entry/1"}, h.leaseRequests)
	require.False(t, h.recorded(1))
	h.lease("entry/1")
	h.lease("entry/1")
	require.Equal(t, []int{1}, h.ran)
	require.True(t, h.recorded(1))
	h.core.Ended(start, &result.Result{Key: jobkey.Key{Team: "kits", ID: "a"}, Index: 1, OK: true})
	require.Equal(t, []string{"entry/1"}, h.endedLeases)
	require.Equal(t, 8000, h.slots.Free().MemoryMB)
}

// An order whose lease is refused or has lapsed, or that is withdrawn while it waits for one, is refused and never recorded, and
// its lease ends.
func TestAnOrderWithoutALeaseIsRefused(t *testing.T) {
	h := newHost()
	for i := range 4 {
		h.order(i, 1000)
	}
	h.core.LeaseAnswered(start, "entry/0", time.Time{}, "lease-service-down")
	h.core.LeaseAnswered(start, "entry/1", start, "")
	h.core.Withdraw(start, "entry", []uint64{2})
	h.lease("entry/2")
	h.core.LeaseStopped(start, "entry/3", slots.MemoryShort)
	require.Equal(t, []string{"lease-service-down", "lease-lapsed", "withdrawn", "memory-short"}, h.refused)
	require.Equal(t, []string{"entry/0", "entry/1", "entry/2", "entry/3"}, h.endedLeases)
	require.Empty(t, h.ran)
	for i := range uint32(4) {
		require.False(t, h.recorded(i))
	}
}

func TestCorrectedSizesAndLowMemoryHoldStartsBack(t *testing.T) {
	h := newHost()
	h.order(1, 1000)
	h.lease("entry/1")
	h.slots.Report("entry/1", needs.Vector{MemoryMB: 5000}, start)
	require.Equal(t, 4000, h.core.LoadOfOthers("entry")[0].Held.MemoryMB, "the owner already counts the declared 1000 MB")
	h.order(2, 1000)
	require.Len(t, h.leaseRequests, 2, "declared 1000 MB are corrected to 3000 MB, which fit")
	h.order(3, 1000)
	require.Len(t, h.leaseRequests, 2, "another 3000 MB don't fit")
	h.core.LeaseStopped(start, "entry/2", slots.MemoryShort)
	require.Len(t, h.leaseRequests, 3, "the memory freed by the second task goes to the third")

	h.slots.Report("entry/1", needs.Vector{MemoryMB: 7900}, start)
	h.slots.Guard(start)
	require.Equal(t, 6000, h.core.LoadOfOthers("entry")[0].Held.MemoryMB, "all memory beyond the owner's declared needs is taken")
	h.order(4, 0)
	require.Len(t, h.leaseRequests, 3, "no starts while the host is short of memory")
}

func TestAStoppedTaskHasFailedAndNeverStartsAgain(t *testing.T) {
	h := newHost()
	h.order(1, 1000)
	h.lease("entry/1")
	h.core.LeaseStopped(start, "entry/1", slots.MemoryShort)
	h.core.LeaseStopped(start, "entry/1", slots.MemoryShort)
	h.core.Ended(start, &result.Result{Key: jobkey.Key{Team: "kits", ID: "a"}, Index: 1, OK: true})
	require.Equal(t, []string{"guard-stopped: memory-short"}, h.results)
	h.core.Order(start, "other", &order.Order{
		Attempt: 9, Key: jobkey.Key{Team: "kits", ID: "a"}, Index: 1, Needs: needs.Vector{Slots: 1}, Deadline: start.Add(time.Minute),
	})
	require.Len(t, h.ran, 1)
	require.Equal(t, h.results[0], h.results[1], "the second owner gets the same result")
	require.Len(t, h.leaseRequests, 1)
}
