package names_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/names"
)

func TestLeastRecentlyUsedNameIsReplaced(t *testing.T) {
	x := names.New(2)
	number := func(name string, want int, fresh bool) {
		n, f := x.Number(name)
		require.Equal(t, want, n)
		require.Equal(t, fresh, f)
	}
	number("stock", 0, true)
	number("label", 1, true)
	number("stock", 0, false)
	number("swap", 1, true)
	number("stock", 0, false)
	number("label", 1, true)
	require.Equal(t, 2, x.Len())
}
