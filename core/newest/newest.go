package newest

import (
	"sync"
	"time"
)

// Newest holds the highest version of a document that it was given, where it came from, and when the store last had no higher one;
// the zero value holds version 0. It is safe for concurrent use.
type Newest struct {
	mu        sync.Mutex
	version   int64
	data      []byte
	source    string
	confirmed time.Time
	received  time.Time
	position  int64
}

// Update replaces the document if the given version is higher than the current one, and reports whether it did; source names the
// process or store that it came from.
func (n *Newest) Update(version int64, data []byte, source string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if version <= n.version {
		return false
	}
	n.version, n.data, n.source = version, data, source
	return true
}

// Confirm records that the store had no version higher than the current one at the given time, up to a position in its log, and when
// that was received.
func (n *Newest) Confirm(at, received time.Time, position int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if received.After(n.received) {
		n.received = received
	}
	n.position = max(n.position, position)
	if at.After(n.confirmed) {
		n.confirmed = at
	}
}

// Confirmed returns the latest time at which the store is known to have had no higher version, zero if there is none.
func (n *Newest) Confirmed() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.confirmed
}

// Received returns when the latest confirmation was received, zero if there is none.
func (n *Newest) Received() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.received
}

// Position returns the highest position of a confirmation.
func (n *Newest) Position() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.position
}

// Get returns the current version and its document.
func (n *Newest) Get() (int64, []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.version, n.data
}

// Source returns the name of the process or store that the current version came from.
func (n *Newest) Source() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.source
}

// Version returns the current version.
func (n *Newest) Version() int64 {
	v, _ := n.Get()
	return v
}
