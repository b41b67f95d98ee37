package stale

import "time"

const (
	// RenewInterval is the time between two renewals of a registration: six writes an hour a process are no load for a store.
	RenewInterval = 10 * time.Minute
	// goneAfter is the time without a renewal after which a process counts as gone. It holds several renewals, an outage of the
	// store and hosts whose times of day differ; a live process that is taken for gone registers again with its next renewal.
	goneAfter = time.Hour
)

// Registration is a process's address and the time of its last renewal; it is plain data.
type Registration struct {
	Address string
	Renewed time.Time
}

// Gone returns the addresses of list that count as gone at a time of day, but never self.
func Gone(now time.Time, self string, list []Registration) []string {
	var gone []string
	for _, r := range list {
		if r.Address != self && now.Sub(r.Renewed) > goneAfter {
			gone = append(gone, r.Address)
		}
	}
	return gone
}
