package agtset

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"persimmonstage/core/needs"
	"persimmonstage/io/strict"
)

const (
	withoutCapacity = `name = "agent-1"
data-centre = "dc-1"
target = "http://127.0.0.1:9001"
http = "127.0.0.1:8090"
entries = ["127.0.0.1:8082"]
`
	validSettings = withoutCapacity + "[capacity]\nslots = 8\n"
)

func TestLoadSetsDefaults(t *testing.T) {
	s, err := Load("agent.toml", []byte(validSettings))
	require.NoError(t, err)
	require.Equal(t, needs.Vector{Slots: 8}, s.Capacity)
	require.Equal(t, defaultGraceMS, s.Timing.GraceMS)
}

func TestLoadErrorsNameFileLineAndKey(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"empty", "", "agent.toml:1: name: missing"},
		{"unknown key", validSettings + "slot = 1\n", "agent.toml:8: capacity.slot: unknown key"},
		{"wrong type", withoutCapacity + "[capacity]\nslots = \"8\"\n", "agent.toml:7: capacity.slots: wrong type: a string where an integer is wanted"},
		{"no capacity", withoutCapacity, "agent.toml:1: capacity: missing, at least 1 of something"},
		{"negative capacity", validSettings + "cores = -1\n", "agent.toml:8: capacity.cores: negative, at least 0"},
		{"capacity overflow", validSettings + "cores = 4294967296\n", "agent.toml:8: capacity.cores: too large, at most 2147483647"},
		{"no target", "name = \"a\"\ndata-centre = \"d\"\n", "agent.toml:1: target: missing"},
		{"leases", "leases = \"worker-1\"\n" + validSettings, `agent.toml:1: leases: "worker-1" is not an address of the form IP:PORT`},
		{"grace", validSettings + "[timing]\ngrace-ms = 999\n", "agent.toml:9: timing.grace-ms: too short, at least two heartbeats"},
		{"overflow", validSettings + "[timing]\ngrace-ms = 9223372036854775\n", "agent.toml:9: timing.grace-ms: too long, at most 3600000"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Load("agent.toml", []byte(c.text))
			var e *strict.Error
			require.True(t, errors.As(err, &e), "%v", err)
			require.Equal(t, c.want, err.Error())
		})
	}
}

func FuzzLoad(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(validSettings + "[timing]\ngrace-ms = 4000\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Load("agent.toml", data)
		var e *strict.Error
		if err != nil && !errors.As(err, &e) {
			t.Fatalf("an error without file, line and key: %v", err)
		}
		if err == nil && (s.DataCentre == "" || s.Capacity == (needs.Vector{})) {
			t.Fatal("accepted without a data centre or a capacity")
		}
	})
}
