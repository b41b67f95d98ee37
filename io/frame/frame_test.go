package frame

import (
	"bytes"
	"encoding/binary"
	"io"
	"runtime"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"persimmonstage/io/wire"
)

func hello() *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Hello{Hello: &wire.Hello{
		Version: 1, Role: wire.Role_ROLE_AGENT, Name: "agent-1", Incarnation: "i", Capacity: &wire.Needs{Slots: 8},
	}}}
}

func encode(t testing.TB, m proto.Message) []byte {
	data, err := Append(nil, m)
	require.NoError(t, err)
	return data
}

func TestDecodeNeedsTheWholeFrame(t *testing.T) {
	data := encode(t, hello())
	for n := range data {
		got, err := Decode(data[:n], ControlLimit, &wire.Frame{})
		require.NoError(t, err)
		require.Zero(t, got)
	}
	var f wire.Frame
	n, err := Decode(append(data, 1, 2, 3), ControlLimit, &f)
	require.NoError(t, err)
	require.Equal(t, len(data), n)
	require.True(t, proto.Equal(hello(), &f))
}

func TestDecodeAndReadRejectTheSameFrames(t *testing.T) {
	cases := []struct {
		name string
		data []byte
		want string
	}{
		{"too large", []byte{0, 4, 0, 1}, "frame: too large: 262145 bytes, limit 262144"},
		{"largest prefix", []byte{255, 255, 255, 255}, "frame: too large: 4294967295 bytes, limit 262144"},
		{"garbled", []byte{0, 0, 0, 2, 255, 255}, "frame: garbled: "},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var rejected *Error
			_, err := Decode(c.data, ControlLimit, &wire.Frame{})
			require.True(t, errors.As(err, &rejected))
			require.Contains(t, err.Error(), c.want)
			err = Read(bytes.NewReader(c.data), ControlLimit, &wire.Frame{})
			require.True(t, errors.As(err, &rejected))
			require.Contains(t, err.Error(), c.want)
		})
	}
}

func TestReadOfATruncatedFrameReturnsTheReadersError(t *testing.T) {
	data := encode(t, hello())
	for n := 1; n < len(data); n++ {
		err := Read(bytes.NewReader(data[:n]), ControlLimit, &wire.Frame{})
		require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	}
	require.ErrorIs(t, Read(bytes.NewReader(nil), ControlLimit, &wire.Frame{}), io.EOF)
}

// A length prefix followed by a few bytes must not make the process allocate a buffer for the largest frame.
func TestReadAllocatesAsBytesArrive(t *testing.T) {
	prefix := binary.BigEndian.AppendUint32(nil, BulkLimit)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	require.Error(t, Read(bytes.NewReader(append(prefix, 1, 2, 3)), BulkLimit, &wire.Bulk{}))
	runtime.ReadMemStats(&after)
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(BulkLimit/8))
}

func TestReadAcceptsALargeFrame(t *testing.T) {
	want := &wire.Bulk{Body: &wire.Bulk_Start{Start: &wire.Start{Payload: bytes.Repeat([]byte{7}, 1<<20)}}}
	var got wire.Bulk
	require.NoError(t, Read(bytes.NewReader(encode(t, want)), BulkLimit, &got))
	require.True(t, proto.Equal(want, &got))
}

func FuzzDecodeControl(f *testing.F) {
	f.Add(encode(f, hello()))
	f.Add(encode(f, &wire.Frame{Body: &wire.Frame_Heartbeat{Heartbeat: &wire.Heartbeat{Stamp: 5, Leaving: true}}}))
	f.Add(encode(f, &wire.Frame{Body: &wire.Frame_Grant{Grant: &wire.Grant{Attempt: 9}}}))
	f.Add([]byte{0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		requireAgreement(t, data, ControlLimit, &wire.Frame{}, &wire.Frame{}, &wire.Frame{})
	})
}

func FuzzDecodeBulk(f *testing.F) {
	f.Add(encode(f, &wire.Bulk{Body: &wire.Bulk_Start{Start: &wire.Start{Team: "t", Id: "a", Payload: []byte("x")}}}))
	f.Add(encode(f, &wire.Bulk{Body: &wire.Bulk_Submit{Submit: &wire.Submit{Team: "t", Id: "a", Job: &wire.Job{Kind: "k"}}}}))
	f.Add(encode(f, &wire.Bulk{Body: &wire.Bulk_Roster{Roster: &wire.Roster{Version: 3}}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		requireAgreement(t, data, ControlLimit, &wire.Bulk{}, &wire.Bulk{}, &wire.Bulk{})
	})
}

// requireAgreement checks that Decode and Read return the same message, and that it is unchanged after another encoding.
func requireAgreement(t *testing.T, data []byte, limit int, a, b, c proto.Message) {
	n, err := Decode(data, limit, a)
	readErr := Read(bytes.NewReader(data), limit, b)
	if err != nil || n == 0 {
		require.Error(t, readErr)
		return
	}
	require.NoError(t, readErr)
	require.LessOrEqual(t, n, len(data))
	require.True(t, proto.Equal(a, b))
	m, err := Decode(encode(t, a), limit*2, c)
	require.NoError(t, err)
	require.NotZero(t, m)
	require.True(t, proto.Equal(a, c))
}
