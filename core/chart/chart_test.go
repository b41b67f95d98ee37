package chart_test

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"persimmonstage/core/chart"
)

const lamp = `
name    = "lamp"
initial = "off"
states  = ["off", "on", "broken"]
final   = ["broken"]
events  = ["press", "drop"]

[ignore]
off = ["drop"]

[[transition]]
from    = ["off"]
event   = "press"
to      = "on"
actions = ["light"]

[[transition]]
from  = ["on"]
event = "press"
to    = "off"

[[transition]]
from  = ["on"]
event = "drop"
to    = "broken"
`

func TestNext(t *testing.T) {
	c, err := chart.Load([]byte(lamp), "light")
	require.NoError(t, err)
	require.Equal(t, "off", c.Initial())
	next, actions, err := c.Next("off", "press")
	require.NoError(t, err)
	require.Equal(t, "on", next)
	require.Equal(t, []string{"light"}, actions)
	next, actions, err = c.Next("off", "drop")
	require.NoError(t, err)
	require.Equal(t, "off", next)
	require.Empty(t, actions)
	next, _, err = c.Next("broken", "press")
	require.NoError(t, err)
	require.Equal(t, "broken", next)
	require.True(t, c.Final("broken"))
	require.False(t, c.Final("off"))
	_, _, err = c.Next("off", "kick")
	var e *chart.Error
	require.True(t, errors.As(err, &e))
	require.Equal(t, "kick", e.Value)
	_, _, err = c.Next("melted", "press")
	require.True(t, errors.As(err, &e))
}

func TestNextDoesNotAllocate(t *testing.T) {
	c, err := chart.Load([]byte(lamp), "light")
	require.NoError(t, err)
	n := testing.AllocsPerRun(100, func() { _, _, _ = c.Next("off", "press") })
	require.Zero(t, n)
}

func TestLoadRejects(t *testing.T) {
	cases := []struct{ name, old, new, reason string }{
		{"duplicate state", `"on", "broken"]`, `"on", "on", "broken"]`, "duplicate"},
		{"duplicate event", `["press", "drop"]`, `["press", "drop", "drop"]`, "duplicate"},
		{"duplicate transition", `off = ["drop"]`, `off = ["drop", "press"]`, "duplicate"},
		{"duplicate action", `["light"]`, `["light", "light"]`, "duplicate"},
		{"missing transition", `off = ["drop"]`, ``, "missing"},
		{"state without transitions", `"on", "broken"]`, `"on", "broken", "dim"]`, "missing"},
		{"unknown action", `["light"]`, `["explode"]`, "unknown action"},
		{"unknown target", `to    = "broken"`, `to    = "gone"`, "unknown state"},
		{"unknown event", `event = "drop"`, `event = "kick"`, "unknown event"},
		{"unknown key", `final   =`, `finals  =`, "strict mode"},
		{"unknown initial", `initial = "off"`, `initial = "dim"`, "unknown state"},
		{"transition of final", `from  = ["on"]`, `from  = ["on", "broken"]`, "final"},
		{"no name", `name    = "lamp"`, ``, "missing"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			text := strings.Replace(lamp, tc.old, tc.new, 1)
			require.NotEqual(t, lamp, text)
			_, err := chart.Load([]byte(text), "light")
			require.ErrorContains(t, err, tc.reason)
		})
	}
}

func TestLoadRejectsUnreachableStatesAndStatesWithoutEnd(t *testing.T) {
	text := strings.Replace(lamp, `"on", "broken"]`, `"on", "broken", "dim"]`, 1)
	unreachable := strings.Replace(text, `off = ["drop"]`, "off = [\"drop\"]\ndim = [\"press\", \"drop\"]", 1)
	_, err := chart.Load([]byte(unreachable), "light")
	require.ErrorContains(t, err, "unreachable")
	endless := strings.Replace(unreachable, `to    = "off"`, `to    = "dim"`, 1)
	_, err = chart.Load([]byte(endless), "light")
	require.ErrorContains(t, err, "never reaches a final state")
}

func BenchmarkNext(b *testing.B) {
	c, err := chart.Load([]byte(lamp), "light")
	require.NoError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		_, _, _ = c.Next("off", "press")
	}
}

func BenchmarkStep(b *testing.B) {
	c, err := chart.Load([]byte(lamp), "light")
	require.NoError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = c.Step(0, 0)
	}
}
