package vers

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"persimmonstage/core/delta"
	"persimmonstage/core/fold"
)

var when = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func parse(t require.TestingT, text string) fold.Document {
	d, err := fold.Parse("", []byte(text))
	require.NoError(t, err)
	return d
}

// memoryLog is an in-memory log: records[i] has the offset i+1, first is the oldest offset still retained.
type memoryLog struct {
	records [][]byte
	first   int64
}

func (l *memoryLog) append(data []byte) int64 {
	l.records = append(l.records, data)
	return int64(len(l.records))
}

// readTo applies the records up to and including offset to, skipping dropped ones, as the log follower does.
func (l *memoryLog) readTo(h *History, to int64) {
	for h.Next() <= to {
		if h.Next() < l.first {
			h.Skip(l.first)
			continue
		}
		h.Apply(h.Next(), l.records[h.Next()-1])
	}
}

func (l *memoryLog) end() int64 { return int64(len(l.records)) }

func propose(t require.TestingT, h *History, id, text string) []byte {
	data, err := h.Propose(id, h.Version(), "ana", when, parse(t, text))
	require.NoError(t, err)
	return data
}

func TestConcurrentChangesHaveSameWinnerForEveryReader(t *testing.T) {
	var l memoryLog
	var a, b, late History
	l.append(propose(t, &a, "1", "x = 1\ny = 1"))
	l.readTo(&a, 1)
	l.readTo(&b, 1)
	fromA := propose(t, &a, "a", "x = 2\ny = 1")
	fromB := propose(t, &b, "b", "x = 1\ny = 2")
	l.append(fromB)
	l.append(fromA)
	for _, h := range []*History{&a, &b, &late} {
		l.readTo(h, l.end())
		require.EqualValues(t, 2, h.Version())
		require.Equal(t, "x = 1\ny = 2\n", string(h.Document().TOML()))
		v, ok := h.Applied("b")
		require.True(t, ok)
		require.EqualValues(t, 2, v)
		current, ok := h.Rejected("a")
		require.True(t, ok)
		require.EqualValues(t, 2, current)
	}
	_, err := a.Propose("c", 1, "ana", when, parse(t, ""))
	var conflict *ConflictError
	require.True(t, errors.As(err, &conflict))
	require.EqualValues(t, 2, conflict.Current())
	require.Equal(t, []string{"y"}, conflict.Changed())
}

func TestRepeatedAppendIsAppliedOnce(t *testing.T) {
	var l memoryLog
	var h History
	data := propose(t, &h, "1", "x = 1")
	l.append(data)
	l.append(data)
	l.readTo(&h, 1)
	l.append(propose(t, &h, "2", "x = 2"))
	l.readTo(&h, l.end())
	require.EqualValues(t, 3, h.Version())
	v, ok := h.Applied("1")
	require.True(t, ok)
	require.EqualValues(t, 1, v)
	_, ok = h.Rejected("1")
	require.False(t, ok)
}

func TestRecordsAreReplayedOnLateSnapshot(t *testing.T) {
	var l memoryLog
	var h, slow History
	l.append(propose(t, &h, "1", "x = 1"))
	l.readTo(&h, 1)
	l.readTo(&slow, 1)
	l.append(propose(t, &h, "2", "x = 2"))
	l.append(slow.Snapshot("s", when)) // state after offset 1, appended after version 2
	l.readTo(&h, l.end())

	l.first = 2
	var started History
	l.readTo(&started, l.end())
	require.True(t, started.Complete())
	require.EqualValues(t, 2, started.Version())

	l.first = 3 // record 2 is dropped, so the snapshot of offset 1 leaves a gap
	var tooLate History
	l.readTo(&tooLate, l.end())
	require.False(t, tooLate.Complete())
	require.Zero(t, tooLate.Version())
	changed, err := tooLate.Adopt(h.Since(tooLate.Version()))
	require.NoError(t, err)
	require.True(t, changed)
	require.True(t, tooLate.Complete())
	require.EqualValues(t, 2, tooLate.Version())
	require.EqualValues(t, 4, tooLate.Next())
}

func TestSnapshotIsDueBeforeRetentionDropsTheLastOne(t *testing.T) {
	var l memoryLog
	var h History
	require.False(t, h.SnapshotDue(when, 4, time.Hour))
	l.append(propose(t, &h, "1", "x = 1"))
	l.readTo(&h, 1)
	require.False(t, h.SnapshotDue(when.Add(30*time.Minute), 4, time.Hour))
	require.True(t, h.SnapshotDue(when.Add(31*time.Minute), 4, time.Hour))
	l.append(propose(t, &h, "2", "x = 2"))
	l.readTo(&h, 2)
	require.True(t, h.SnapshotDue(when, 4, time.Hour))
	l.append(h.Snapshot("s", when.Add(time.Minute)))
	l.readTo(&h, 3)
	require.False(t, h.SnapshotDue(when.Add(30*time.Minute), 4, time.Hour))
	require.Zero(t, h.Diverged())
}

func TestEarlierVersionsAreAvailable(t *testing.T) {
	var l memoryLog
	var h History
	for i := range 5 {
		l.append(propose(t, &h, fmt.Sprint(i), fmt.Sprintf("x = %d\n[t%d]", i, i)))
		l.readTo(&h, l.end())
	}
	for i := range 5 {
		doc, ok := h.At(int64(i + 1))
		require.True(t, ok)
		require.Equal(t, fmt.Sprintf("x = %d\n\n[t%d]\n", i, i), string(doc.TOML()))
	}
	changes, ok := h.Changed(4, 5)
	require.True(t, ok)
	require.Equal(t, []string{"t3", "t4", "x"}, delta.Names(changes))
	_, ok = h.At(9)
	require.False(t, ok)
	require.EqualValues(t, 5, h.Entries(1)[0].Version())
}

func TestAdoptRejectsInvalidState(t *testing.T) {
	var l memoryLog
	var h, other History
	l.append(propose(t, &h, "1", "x = 1"))
	l.readTo(&h, 1)
	first := h.Since(0)
	l.append(propose(t, &h, "2", "x = 2"))
	l.readTo(&h, 2)
	_, err := other.Adopt(h.Since(1))
	require.Error(t, err)
	require.Zero(t, other.Version())
	_, err = other.Adopt([]byte(`{"type":"snapshot","version":7,"sum":"1","document":"x = 1"}`))
	require.Error(t, err)
	require.Equal(t, 1, other.Diverged())
	_, err = other.Adopt([]byte(`{`))
	require.Error(t, err)

	_, err = other.Adopt(h.Since(0))
	require.NoError(t, err)
	changed, err := other.Adopt(first)
	require.NoError(t, err)
	require.False(t, changed)
	require.EqualValues(t, 2, other.Version())
}

// TestReadersAgree mixes lagging and racing publishers, repeated appends and late snapshots with readers that restart,
// stall and miss records; every complete reader must end with the same state as a reader of the whole log.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := memoryLog{first: 1}
		readers := make([]*History, 4)
		for i := range readers {
			readers[i] = &History{}
		}
		var pending [][]byte
		pick := func(label string) *History { return readers[rapid.IntRange(0, len(readers)-1).Draw(t, label)] }
		versions := make(map[*History]int64)
		ids := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			h := pick("reader")
			switch rapid.SampledFrom([]string{"propose", "snapshot", "land", "land", "read", "read", "retain", "restart", "peer"}).Draw(t, "step") {
			case "propose":
				ids++
				text := fmt.Sprintf("a = %d\n[t%d]\n", rapid.IntRange(0, 3).Draw(t, "a"), rapid.IntRange(0, 2).Draw(t, "t"))
				pending = append(pending, propose(t, h, fmt.Sprint(ids), text))
			case "snapshot":
				if data := h.Snapshot("s", when); data != nil {
					pending = append(pending, data)
				}
			case "land":
				if len(pending) > 0 { // stays pending, so it may be appended a second time
					l.append(pending[rapid.IntRange(0, len(pending)-1).Draw(t, "record")])
				}
			case "read":
				l.readTo(h, min(l.end(), h.Next()+rapid.Int64Range(0, 5).Draw(t, "count")))
			case "retain":
				l.first = min(l.end()+1, l.first+rapid.Int64Range(0, 3).Draw(t, "drop"))
			case "restart":
				*h = History{}
				versions[h] = 0
			case "peer":
				if data := pick("peer").Since(h.Version()); data != nil {
					_, err := h.Adopt(data)
					require.NoError(t, err)
				}
			}
			require.GreaterOrEqual(t, h.Version(), versions[h])
			versions[h] = h.Version()
		}
		reference := &History{}
		all := memoryLog{records: l.records, first: 1}
		all.readTo(reference, all.end())
		for _, h := range readers {
			l.readTo(h, l.end())
			require.Zero(t, h.Diverged())
			require.GreaterOrEqual(t, reference.Version(), h.Version())
			if h.Complete() {
				require.Equal(t, reference.Version(), h.Version())
				require.Equal(t, reference.Document().Sum(), h.Document().Sum())
			}
		}
	})
}

func TestIncompletePeerSendsOnlyItsVersion(t *testing.T) {
	var l memoryLog
	var writer, gap, started History
	l.append(propose(t, &writer, "1", "x = 1"))
	l.readTo(&writer, 1)
	l.readTo(&gap, 1)
	l.append(propose(t, &writer, "2", "x = 2"))
	l.readTo(&writer, 2)
	l.append([]byte("noise"))
	l.first = 3
	l.readTo(&gap, 3)
	require.False(t, gap.Complete())
	require.EqualValues(t, 1, gap.Version())

	_, err := started.Adopt(gap.Since(0))
	require.NoError(t, err)
	require.EqualValues(t, 2, started.Next())
	l.readTo(&started, 3)
	require.False(t, started.Complete())

	_, err = gap.Adopt(writer.Since(0))
	require.NoError(t, err)
	l.readTo(&gap, 3)
	require.True(t, gap.Complete())
	require.EqualValues(t, 2, gap.Version())
}

func TestHistoryStates(t *testing.T) {
	var unknown, empty History
	require.True(t, unknown.Complete())
	require.Nil(t, unknown.Snapshot("s", time.Time{}))
	unknown.Skip(5)
	require.False(t, unknown.Complete())
	none := empty.fullState()
	none.After = 9
	_, err := unknown.Adopt(none.encode())
	require.ErrorIs(t, err, errNoVersion, "a state without a version is rejected")

	known := unknown
	some := empty.fullState()
	some.Version, some.After = 6, 6
	changed, err := known.Adopt(some.encode())
	require.NoError(t, err)
	require.True(t, changed && known.Complete())
	require.NotNil(t, known.Snapshot("s", time.Time{}))
	known.Skip(20)
	known.Skip(30)
	require.Nil(t, known.Snapshot("s", time.Time{}), "records are missing")
	require.EqualValues(t, 6, known.Version(), "the version in force stays")
	require.EqualValues(t, 6, known.reflectedOffset())
}
