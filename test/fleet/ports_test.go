package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A port that the kernel also gives to outgoing connections can be taken between its choice and the start of its process;
// an agent of a fleet failed so with "address already in use".
func TestFreePortsAreDistinctAndNeverTheKernels(t *testing.T) {
	seen := map[string]bool{}
	for range 200 {
		addr := freeAddr(t)
		require.False(t, seen[addr], addr)
		seen[addr] = true
		require.Regexp(t, `^127\.0\.0\.1:[12][0-9]{4}$`, addr)
	}
}
