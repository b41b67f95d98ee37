package verb

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"persimmonstage/io/local"
)

// startInstallation runs an entry and two agents, and publishes a configuration.
func startInstallation(t *testing.T) {
	t.Helper()
	stack, err := local.Start(2, zap.NewNop())
	require.NoError(t, err)
	t.Cleanup(stack.Stop)
	t.Setenv("PERSIMMONSTAGE_ENTRY", stack.URL())
	s := session{t: t}
	s.run("config publish testdata/config/base")
	require.Contains(t, s.text.String(), "published: version")
}

// runUntil repeats a command until its output contains text.
func runUntil(t *testing.T, line, text string) string {
	t.Helper()
	end := time.Now().Add(commandTimeout)
	for time.Now().Before(end) {
		s := session{t: t}
		s.run(line)
		if strings.Contains(s.text.String(), text) {
			return s.text.String()
		}
		time.Sleep(20 * time.Millisecond)
	}
	require.Failf(t, "not shown in time", "%s: %s", line, text)
	return ""
}

func TestEvacuateADataCentre(t *testing.T) {
	startInstallation(t)
	t.Setenv("PERSIMMONSTAGE_OPERATOR_TOKEN", "ana-token")
	list := runUntil(t, "targets", "2 of 2 usable")
	name := strings.Fields(strings.Split(list, "\n")[2])[1]
	rejected := session{t: t}
	rejected.run("evacuate nowhere")
	require.Contains(t, rejected.text.String(), `persimmonstage: evacuate: DATA-CENTRE: "nowhere": no target there; known are `+name)
	rejected.run("evacuate --undo")
	require.Contains(t, rejected.text.String(), "DATA-CENTRE: missing, at least 1")
	runUntil(t, "evacuate", "evacuated data centres: none")
	runUntil(t, "evacuate "+name, "evacuated data centres: "+name)
	runUntil(t, "targets", "evacuated\n")
	runUntil(t, "drain", "drained targets: none")
	runUntil(t, "evacuate --undo "+name, "evacuated data centres: none")
	runUntil(t, "targets", "2 of 2 usable")
}

func TestDrainAndUndrainTarget(t *testing.T) {
	startInstallation(t)
	refused := session{t: t}
	refused.run("targets")
	require.Contains(t, refused.text.String(), "persimmonstage: targets: answer 401: Authorization: an operator's token is required")
	refused.run("retire --dead entry-2")
	require.Contains(t, refused.text.String(), "persimmonstage: retire: answer 401: Authorization: an operator's token is required")

	t.Setenv("PERSIMMONSTAGE_OPERATOR_TOKEN", "ana-token")
	list := runUntil(t, "targets", "2 of 2 usable")
	name := strings.Fields(strings.Split(list, "\n")[2])[0]
	runUntil(t, "teams", "kits     2       no quota         400")
	runUntil(t, "drain "+name, "drained targets: "+name)
	runUntil(t, "targets", "1 of 2 usable")
	runUntil(t, "targets --json", `"usable": false`)
	runUntil(t, "targets", "drained\n")
	runUntil(t, "undrain "+name, "drained targets: none")
	runUntil(t, "targets", "2 of 2 usable")
}

func TestUndrainRequiresAName(t *testing.T) {
	s := session{t: t}
	s.run("undrain --entry http://127.0.0.1:1")
	require.Contains(t, s.text.String(), "persimmonstage: undrain: TARGET or --host: missing, at least 1")
}
