package served

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// TestEndBeforeTheFirstAccept closes servers as soon as they are started, which without the listener's own end hangs for ever in
// some of the rounds.
func TestEndBeforeTheFirstAccept(t *testing.T) {
	const rounds = 500
	for range rounds {
		s, err := Start("127.0.0.1:0", &fasthttp.Server{Handler: func(*fasthttp.RequestCtx) {}, CloseOnShutdown: true})
		require.NoError(t, err)
		require.NoError(t, s.Close())
	}
}
