package newest

import "sync"

// Newest holds a document of the highest version that it was offered; the zero value holds version 0. It is safe for
// concurrent use.
type Newest struct {
	mu      sync.Mutex
	version int64
	data    []byte
}

// Update takes a document and reports whether it is newer than the one held; an older one is dropped, so versions only rise.
func (n *Newest) Update(version int64, data []byte) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if version <= n.version {
		return false
	}
	n.version, n.data = version, data
	return true
}

// Get returns the document held and its version.
func (n *Newest) Get() (int64, []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.version, n.data
}

// Version returns the version held.
func (n *Newest) Version() int64 {
	v, _ := n.Get()
	return v
}
