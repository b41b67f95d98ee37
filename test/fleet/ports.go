package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"

	"persimmonstage/test/ports"
)

var freePorts ports.Allocator

func freeAddr(t *testing.T) string {
	t.Helper()
	addr, err := freePorts.Free()
	require.NoError(t, err)
	return addr
}
