package httpd

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// TestCloseBeforeFirstAccept closes servers right after their start. If Close didn't close the listener itself, it would hang
// forever in some of the rounds.
func TestCloseBeforeFirstAccept(t *testing.T) {
	const rounds = 500
	for range rounds {
		s, err := Start("127.0.0.1:0", &fasthttp.Server{Handler: func(*fasthttp.RequestCtx) {}, CloseOnShutdown: true})
		require.NoError(t, err)
		require.NoError(t, s.Close())
	}
}
