package newest

import "sync"

// Newest holds the highest version of a document that it was given; the zero value holds version 0. It is safe for concurrent
// use.
type Newest struct {
	mu      sync.Mutex
	version int64
	data    []byte
}

// Update replaces the document if the given version is higher than the current one, and reports whether it did.
func (n *Newest) Update(version int64, data []byte) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if version <= n.version {
		return false
	}
	n.version, n.data = version, data
	return true
}

// Get returns the current version and its document.
func (n *Newest) Get() (int64, []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.version, n.data
}

// Version returns the current version.
func (n *Newest) Version() int64 {
	v, _ := n.Get()
	return v
}
