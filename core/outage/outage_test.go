package outage_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/outage"
)

var start = time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC)

// TestCuts steps the monitor of an entry in dc-1 second by second; each word of a case is SECOND:EVENT:TARGET, with + for
// seen, - for lost and . for a target that left; the first digit of a target is that of its data centre.
func TestCuts(t *testing.T) {
	const all = "0:+:1a 0:+:1b 0:+:2a 0:+:2b 0:+:3a 0:+:3b "
	cases := []struct{ name, script, want string }{
		{"one is cut and comes back", all + "10:-:2a 13:-:2b 40:+:2b", "16 begun dc-2 at 10; 40 ended dc-2"},
		{"nothing happens", all, ""},
		{"one target is lost", all + "10:-:2a", ""},
		{"one after the other", all + "10:-:2a 30:-:2b", ""},
		{"a restart", all + "10:-:2a 10:-:2b 11:+:2a 11:+:2b", ""},
		{"all announce that they leave", all + "10:.:2a 10:.:2b", ""},
		{"left, then its connection ends", all + "10:.:2a 11:-:2a 11:-:2b", ""},
		{"all are lost, as the entry was paused", all + "10:-:1a 10:-:1b 10:-:2a 10:-:2b 10:-:3a 10:-:3b 14:+:1a 15:+:2a 15:+:3a", ""},
		{"all others are lost, so the own one is cut", all + "10:-:2a 10:-:2b 10:-:3a 10:-:3b 30:+:3a", "13 begun dc-1 at 10; 30 ended dc-1"},
		{"of two, the other one", "0:+:1a 0:+:2a 0:+:2b 10:-:2a 10:-:2b 30:+:2a", "13 begun dc-2 at 10; 30 ended dc-2"},
		{"twice", all + "10:-:2a 10:-:2b 20:+:2a 30:-:2a 31:+:2b 32:-:2b", "13 begun dc-2 at 10; 20 ended dc-2; 35 begun dc-2 at 30"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { require.Equal(t, c.want, run(c.script)) })
	}
}

func run(script string) string {
	var m outage.Monitor
	m.SetHome("dc-1")
	var changes []string
	for second := range 60 {
		now := start.Add(time.Duration(second) * time.Second)
		for _, event := range strings.Fields(script) {
			if rest, ok := strings.CutPrefix(event, fmt.Sprintf("%d:", second)); ok {
				apply(&m, now, rest[:1], rest[2:])
			}
		}
		begun, ended := m.Step(now)
		for _, c := range begun {
			changes = append(changes, fmt.Sprintf("%d begun %s at %.0f", second, c.Centre(), c.At().Sub(start).Seconds()))
		}
		for _, c := range ended {
			changes = append(changes, fmt.Sprintf("%d ended %s", second, c.Centre()))
		}
	}
	return strings.Join(changes, "; ")
}

func apply(m *outage.Monitor, now time.Time, what, target string) {
	centre := "dc-" + target[:1]
	switch what {
	case "+":
		m.Seen(centre, target)
	case "-":
		m.Lost(now, centre, target)
	default:
		m.Left(centre, target)
	}
}
