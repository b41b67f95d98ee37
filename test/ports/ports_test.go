package ports

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Two test processes once allocated the same port, one of them for a server that it started a minute later, which then failed
// with "address already in use".
func TestAllocatorsReturnDistinctPortsBelowEphemeralRange(t *testing.T) {
	var a, b Allocator
	seen := map[string]bool{}
	for range blockSize {
		for _, p := range []*Allocator{&a, &b} {
			addr, err := p.Free()
			require.NoError(t, err)
			require.False(t, seen[addr], addr)
			seen[addr] = true
			require.Regexp(t, `^127\.0\.0\.1:[12][0-9]{4}$`, addr)
		}
	}
}
