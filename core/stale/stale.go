package stale

import "time"

const (
	// RenewInterval is the time between two renewals of a registration; six writes per process and hour are no load for the store.
	RenewInterval = 10 * time.Minute
	// goneAfter is the time without a renewal after which a process counts as gone. It is long enough for several missed renewals,
	// an outage of the store and clock differences between hosts; a live process removed by mistake registers again with its next
	// renewal.
	goneAfter = time.Hour
)

// Registration is a process's address and the time of its last renewal.
type Registration struct {
	Address string
	Renewed time.Time
}

// Gone returns the addresses in list whose process counts as gone, never self; now is a wall-clock time.
func Gone(now time.Time, self string, list []Registration) []string {
	var gone []string
	for _, r := range list {
		if r.Address != self && now.Sub(r.Renewed) > goneAfter {
			gone = append(gone, r.Address)
		}
	}
	return gone
}
