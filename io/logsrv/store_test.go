package logsrv

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestRetentionByCountAndAge(t *testing.T) {
	s := newStore(3, time.Minute)
	for i := range 5 {
		offset, ok := s.append("a", []byte{byte(i)}, start.Add(time.Duration(i)*time.Second))
		require.True(t, ok)
		require.EqualValues(t, i+1, offset)
	}
	got, _ := s.read("a", 1, 10, start.Add(5*time.Second))
	require.EqualValues(t, 3, got.first)
	require.EqualValues(t, 6, got.next)
	require.Equal(t, [][]byte{{2}, {3}, {4}}, got.records)

	got, _ = s.read("a", 1, 10, start.Add(time.Minute+3*time.Second))
	require.EqualValues(t, 5, got.first)

	got, _ = s.read("a", 1, 10, start.Add(time.Hour))
	require.EqualValues(t, 6, got.first)
	require.Empty(t, got.records)
	offset, _ := s.append("a", nil, start.Add(time.Hour))
	require.EqualValues(t, 6, offset)
}

func TestSizesAreLimited(t *testing.T) {
	s := newStore(1000, 0)
	for range 70 {
		s.append("a", make([]byte, maxRecordBytes), start)
	}
	require.LessOrEqual(t, s.streams["a"].bytes, maxStreamBytes)
	got, _ := s.read("a", 0, 1000, start)
	require.Len(t, got.records, maxAnswerBytes/maxRecordBytes)

	for i := range maxStreams {
		s.append(string(rune('A'+i)), nil, start)
	}
	_, ok := s.append("one-too-many", nil, start)
	require.False(t, ok)
}
