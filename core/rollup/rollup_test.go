package rollup_test

import (
	"bytes"
	"compress/gzip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/cause"
	"persimmonstage/core/ended"
	"persimmonstage/core/event"
	"persimmonstage/core/rollup"
	"persimmonstage/core/series"
)

var at = time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)

func sample() *rollup.Rollup {
	s := series.New("castle-kits", "label")
	s.AddJobs(ended.Failed, cause.TargetLost, time.Second, 3)
	s.RecordTime(time.Second, time.Second)
	return &rollup.Rollup{
		Entry: "entry-1", Incarnation: "i1", Seq: 7, From: at, To: at.Add(time.Minute),
		Series: []*series.Series{s}, Events: []event.Event{{At: at, Cause: cause.TargetLost, Subject: "runner-1"}},
	}
}

func TestEncodeDecode(t *testing.T) {
	r := sample()
	data, err := r.Encode()
	require.NoError(t, err)
	back, err := rollup.Decode(data)
	require.NoError(t, err)
	require.Equal(t, r.ID(), back.ID())
	require.Equal(t, r.Events, back.Events)
	again, err := back.Encode()
	require.NoError(t, err)
	require.Equal(t, data, again)
}

func TestFullRecordKeepsHarmfulEvents(t *testing.T) {
	r := sample()
	for i := range 2 * rollup.MaxEvents {
		r.AddEvent(event.Event{At: at.Add(time.Duration(i)), Cause: cause.ConfigApplied})
	}
	down := event.Event{At: at, Until: at.Add(time.Second), Open: true, Cause: cause.LogDown}
	r.AddEvent(down)
	down.Until = at.Add(time.Minute)
	r.AddEvent(down)
	require.Contains(t, r.Events, down)
	require.Len(t, r.Events, rollup.MaxEvents)
	require.EqualValues(t, rollup.MaxEvents+2, r.EventsLost)
}

func gzipped(text string) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write([]byte(text)); err != nil {
		panic(err)
	}
	if err := w.Close(); err != nil {
		panic(err)
	}
	return b.Bytes()
}

func TestDecodeRejectsBadRecords(t *testing.T) {
	good, err := sample().Encode()
	require.NoError(t, err)
	for name, data := range map[string][]byte{
		"empty":          nil,
		"not gzip":       []byte(`{"incarnation":"x"}`),
		"cut":            good[:len(good)/2],
		"not JSON":       gzipped("x"),
		"no incarnation": gzipped(`{"from":"2026-03-02T09:00:00Z","to":"2026-03-02T09:01:00Z"}`),
		"no time":        gzipped(`{"incarnation":"x"}`),
		"backwards":      gzipped(`{"incarnation":"x","from":"2026-03-02T09:00:00Z","to":"2026-03-02T08:01:00Z"}`),
		"too long":       gzipped(`{"incarnation":"x","from":"2026-03-02T09:00:00Z","to":"2027-03-02T08:01:00Z"}`),
		"null series":    gzipped(`{"incarnation":"x","from":"2026-03-02T09:00:00Z","to":"2026-03-02T09:01:00Z","series":[null]}`),
		"negative":       gzipped(`{"incarnation":"x","from":"2026-03-02T09:00:00Z","to":"2026-03-02T09:01:00Z","overdue":-1}`),
		"too large":      gzipped(string(bytes.Repeat([]byte(" "), 17<<20))),
	} {
		_, err := rollup.Decode(data)
		require.Error(t, err, name)
	}
}

func FuzzDecode(f *testing.F) {
	good, err := sample().Encode()
	require.NoError(f, err)
	f.Add(good)
	f.Add(gzipped("{}"))
	f.Add([]byte("x"))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := rollup.Decode(data)
		if err != nil {
			return
		}
		_, err = r.Encode()
		require.NoError(t, err)
	})
}
