package pack

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"persimmonstage/io/frame"
	"persimmonstage/io/wire"
)

// newDocument returns a configuration with a number of routes.
func newDocument(routes int) []byte {
	var out bytes.Buffer
	for i := range routes {
		fmt.Fprintf(&out, `{"name":"r-%d","host":"h%d.example","path-prefix":"/p%d/","kind":"unsafe","timeout-ms":1500,"target-latency-ms":60,`+
			`"priority":0,"service":"s%d","max-attempts":4,"stretch":1.6},`, i*7919, i*104729, i*1299709, i%7)
	}
	return out.Bytes()
}

// TestALargeDocumentFitsIntoAFrame guards against entries that stay outdated, and connections that break again and again, once the
// configuration is larger than a control frame.
func TestALargeDocumentFitsIntoAFrame(t *testing.T) {
	for _, routes := range []int{1, 500, 1400, 6000} {
		data := newDocument(routes)
		m := &wire.Document{Version: 7, Data: data, Stamp: 1, Position: 2}
		var p Packer
		require.NoError(t, p.Pack(m))
		sent, err := frame.Append(nil, &wire.Frame{Body: &wire.Frame_Document{Document: m}})
		require.NoError(t, err)
		var f wire.Frame
		n, err := frame.Decode(sent, frame.ControlLimit, &f)
		require.NoError(t, err, "%d bytes", len(data))
		require.Equal(t, len(sent), n)
		got, err := Data(f.GetDocument())
		require.NoError(t, err)
		require.Equal(t, data, got)
	}
}

func TestADocumentThatFitsIntoNoFrameIsRefused(t *testing.T) {
	noise := make([]byte, 2*frame.ControlLimit)
	rng := rand.NewChaCha8([32]byte{1})
	_, _ = rng.Read(noise)
	var p Packer
	for range 2 {
		var tooLarge *TooLargeError
		require.True(t, errors.As(p.Pack(&wire.Document{Version: 7, Data: noise}), &tooLarge))
		require.Equal(t, int64(7), tooLarge.Version)
	}
	require.NoError(t, p.Pack(&wire.Document{Version: 8, Data: newDocument(1400)}))
}

func TestGarbledDataIsAnError(t *testing.T) {
	_, err := Data(&wire.Document{Version: 7, Packed: []byte{0xff, 1, 2}})
	require.Error(t, err)
}
