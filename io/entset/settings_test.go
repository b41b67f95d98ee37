package entset

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"persimmonstage/io/strict"
)

const validSettings = `name = "entry-1"
data-centre = "dc-1"
http = "127.0.0.1:8080"
control = "127.0.0.1:8081"
bulk = "[::1]:8082"
log = "127.0.0.1:9100"
`

func TestLoadSetsDefaults(t *testing.T) {
	s, err := Load("entry.toml", []byte(validSettings))
	require.NoError(t, err)
	require.Equal(t, "UTC", s.TimeZone)
	require.Equal(t, defaultHeartbeatMS, s.Timing.HeartbeatMS)
	require.Equal(t, defaultDrainMS, s.Timing.DrainMS)
}

func TestLoadErrorsNameFileLineAndKey(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"empty", "", "entry.toml:1: name: missing"},
		{"unknown key", validSettings + "colour = 1\n", "entry.toml:7: colour: unknown key"},
		{"wrong type", validSettings + "peers = 3\n", "entry.toml:7: peers: wrong type: an integer where an array is wanted"},
		{"missing address", "name = \"e\"\ndata-centre = \"d\"\n", "entry.toml:1: http: missing"},
		{
			"peer by name", validSettings + "peers = [\"127.0.0.1:1\", \"host:1\"]\n",
			"entry.toml:7: peers: \"host:1\" is not an address of the form IP:PORT",
		},
		{"advertised by name", validSettings + "advertise-bulk = \"host:1\"\n", "entry.toml:7: advertise-bulk: \"host:1\" is not an address of the form IP:PORT"},
		{"time zone", validSettings + "time-zone = \"Atlantis/Capital\"\n", "entry.toml:7: time-zone: \"Atlantis/Capital\" is not a known time zone"},
		{"heartbeat", validSettings + "[timing]\nheartbeat-ms = 10\n", "entry.toml:8: timing.heartbeat-ms: too short, at least 50"},
		{"suspect", validSettings + "[timing]\nsuspect-ms = 999\n", "entry.toml:8: timing.suspect-ms: too short, at least two heartbeats"},
		{"grace", validSettings + "[timing]\ngrace-ms = 999\n", "entry.toml:8: timing.grace-ms: too short, at least two heartbeats"},
		{"drain", validSettings + "[timing]\ndrain-ms = -1\n", "entry.toml:8: timing.drain-ms: negative, at least 0"},
		{"few records", validSettings + "[retention]\nconfig-records = 99\n", "entry.toml:8: retention.config-records: too few, at least 100"},
		{"short retention", validSettings + "[retention]\nconfig-minutes = 0\n", "entry.toml:8: retention.config-minutes: too few, at least 10"},
		{"many days", validSettings + "[retention]\naccount-days = 32\n", "entry.toml:8: retention.account-days: too many, at most 31"},
		{"no memory", validSettings + "[limits]\nmemory-mb = -1\n", "entry.toml:8: limits.memory-mb: negative, at least 0"},
		{"overflow", validSettings + "[timing]\ndrain-ms = 9223372036854775\n", "entry.toml:8: timing.drain-ms: too long, at most 3600000"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Load("entry.toml", []byte(c.text))
			var e *strict.Error
			require.True(t, errors.As(err, &e), "%v", err)
			require.Equal(t, c.want, err.Error())
		})
	}
}

func TestPlacementMustBeAPolicy(t *testing.T) {
	s, err := Load("e.toml", []byte(validSettings))
	require.NoError(t, err)
	require.Equal(t, "bounded", s.Placement, "the policy that docs/design/placement.md chooses")
	_, err = Load("e.toml", []byte(validSettings+"placement = \"nearest\"\n"))
	require.ErrorContains(t, err, "e.toml:7")
	require.ErrorContains(t, err, "two-choices")
}

func FuzzLoad(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(validSettings + "[timing]\ngrace-ms = 4000\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Load("entry.toml", data)
		var e *strict.Error
		if err != nil && !errors.As(err, &e) {
			t.Fatalf("an error without file, line and key: %v", err)
		}
		if err == nil && s.DataCentre == "" {
			t.Fatal("accepted without a data centre")
		}
	})
}
