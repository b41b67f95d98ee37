package merge_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"persimmonstage/io/merge"
)

func TestLinesAreMergedByTime(t *testing.T) {
	var m merge.Merge
	m.Add("a", strings.NewReader("{\"time\":\"2026-01-02T03:04:05Z\",\"n\":1}\nnot JSON\n{\"time\":\"2026-01-02T03:04:07Z\",\"n\":3}\n"))
	m.Add("b", strings.NewReader("{\"time\":\"2026-01-02T03:04:06.5Z\",\"n\":2}\n"))
	m.Add("empty", strings.NewReader(""))
	var got []string
	var terminal bytes.Buffer
	require.NoError(t, m.Run(func(text string) { got = append(got, text[len(text)-2:]) }, &terminal))
	require.Equal(t, []string{"1}", "ON", "2}", "3}"}, got)
	require.Empty(t, terminal.String(), "too short for progress")
}

func TestErrorNamesTheFile(t *testing.T) {
	var m merge.Merge
	m.Add("long.log", strings.NewReader(strings.Repeat("x", 2<<20)))
	require.ErrorContains(t, m.Run(func(string) {}, nil), "long.log")
}
