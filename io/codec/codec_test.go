package codec

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"persimmonstage/core/ident"
	"persimmonstage/core/job"
	"persimmonstage/core/jobkey"
	"persimmonstage/core/member"
	"persimmonstage/core/needs"
	"persimmonstage/core/order"
	"persimmonstage/core/task"
	"persimmonstage/io/wire"
)

func sampleJob() *job.Job {
	at := time.Unix(1_770_000_000, 5)
	return &job.Job{
		Key: jobkey.Key{Team: "t", ID: "a"}, Kind: "sort", DataCentre: "dc-1", Issued: at, Deadline: at.Add(time.Second),
		Tasks: []task.Task{{Payload: []byte("x"), Needs: needs.Vector{Slots: 1, Cores: 2, MemoryMB: 3, Accelerators: 4}}},
	}
}

func TestJobRoundTrip(t *testing.T) {
	require.Equal(t, sampleJob(), DecodeJob(EncodeJob(sampleJob())))
}

func TestIdentRoundTrip(t *testing.T) {
	for _, inc := range []string{"c6b8ad56-0f55-4c8e-9d23-8d7f8a3c1f10", "C6B8AD56-0F55-4C8E-9D23-8D7F8A3C1F10", "entry#1", ""} {
		id := ident.Ident{Name: "entry-1", Incarnation: inc}
		require.Equal(t, id, DecodeIdent(EncodeIdent(id)))
	}
}

func TestPositiveLimitIsNotEncodedAsNone(t *testing.T) {
	for d, want := range map[time.Duration]time.Duration{
		0: 0, time.Microsecond: time.Millisecond, 5 * time.Second: 5 * time.Second,
		math.MaxInt64: math.MaxUint32 * time.Millisecond,
	} {
		require.Equal(t, want, DecodeStart(EncodeStart(&order.Order{MaxWait: d})).MaxWait)
	}
}

// FuzzIn passes arbitrary messages, as another process may send them, to every decoder.
func FuzzIn(f *testing.F) {
	add := func(m *wire.Bulk) {
		data, err := proto.Marshal(m)
		require.NoError(f, err)
		f.Add(data)
	}
	add(&wire.Bulk{Body: &wire.Bulk_Submit{Submit: &wire.Submit{Job: EncodeJob(sampleJob())}}})
	add(&wire.Bulk{Body: &wire.Bulk_Submit{Submit: &wire.Submit{Job: &wire.Job{Tasks: []*wire.JobTask{{}}}}}})
	add(&wire.Bulk{Body: &wire.Bulk_Start{Start: &wire.Start{Digest: make([]byte, 99)}}})
	add(&wire.Bulk{Body: &wire.Bulk_Result{Result: &wire.Result{Ok: true, RunUs: 1 << 63}}})
	add(&wire.Bulk{Body: &wire.Bulk_RecordsAnswer{RecordsAnswer: &wire.RecordsAnswer{Records: []*wire.Record{{Indexes: []uint32{7}}}}}})
	add(&wire.Bulk{Body: &wire.Bulk_Roster{Roster: &wire.Roster{Agents: []*wire.Ident{{}}}}})
	f.Fuzz(func(_ *testing.T, data []byte) {
		var b wire.Bulk
		if proto.Unmarshal(data, &b) == nil {
			decodeBulk(&b)
		}
		var fr wire.Frame
		if proto.Unmarshal(data, &fr) == nil {
			decodeFrame(&fr)
		}
	})
}

func decodeBulk(b *wire.Bulk) {
	switch m := b.Body.(type) {
	case *wire.Bulk_Submit:
		if m.Submit.GetJob() != nil {
			EncodeJob(DecodeJob(m.Submit.Job))
		}
	case *wire.Bulk_Start:
		EncodeStart(DecodeStart(m.Start))
	case *wire.Bulk_Result:
		EncodeResult(DecodeResult(m.Result))
	case *wire.Bulk_RecordsAnswer:
		DecodeRecords(m.RecordsAnswer)
	case *wire.Bulk_Roster:
		DecodeRoster(m.Roster)
	}
}

func decodeFrame(f *wire.Frame) {
	switch m := f.Body.(type) {
	case *wire.Frame_Reserve:
		EncodeReserve(DecodeReserve(m.Reserve))
	case *wire.Frame_PeerBeat:
		DecodeHeartbeat(member.Member{}, m.PeerBeat)
	}
}
