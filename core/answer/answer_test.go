package answer

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestNilResultIsEncodedAsEmptyString(t *testing.T) {
	a := Success("a", [][]byte{nil, {}, []byte("x")})
	require.JSONEq(t, `{"outcome": "complete", "id": "a", "results": ["", "", "eA=="]}`, string(a.Body()))
}
