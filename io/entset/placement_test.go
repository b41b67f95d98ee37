package entset_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"persimmonstage/io/entset"
)

const validSettings = "name = \"e\"\ndata-centre = \"d\"\nhttp = \"127.0.0.1:1\"\ncontrol = \"127.0.0.1:2\"\nbulk = \"127.0.0.1:3\"\nlog = \"127.0.0.1:4\"\n"

func TestPlacementMustBeAPolicy(t *testing.T) {
	s, err := entset.Load("e.toml", []byte(validSettings))
	require.NoError(t, err)
	require.Equal(t, "bounded", s.Placement, "the policy that docs/design/placement.md chooses")
	_, err = entset.Load("e.toml", []byte(validSettings+"placement = \"nearest\"\n"))
	require.ErrorContains(t, err, "e.toml:7")
	require.ErrorContains(t, err, "two-choices")
}
