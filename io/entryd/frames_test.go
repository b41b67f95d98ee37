package entryd

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"persimmonstage/io/codec"
	"persimmonstage/io/entset"
	"persimmonstage/io/wire"
)

const settings = `name = "entry-1"
data-centre = "dc-1"
http = "127.0.0.1:0"
control = "127.0.0.1:0"
bulk = "127.0.0.1:0"
log = "127.0.0.1:1"
`

// An agent that trusts answers longer than the entries assume could obey a replaced owner after a takeover.
func TestAnAgentWithALongerGraceIsRefused(t *testing.T) {
	set, err := entset.Load("entry.toml", []byte(settings))
	require.NoError(t, err)
	core, logs := observer.New(zap.WarnLevel)
	d, err := New(set, zap.New(core))
	require.NoError(t, err)
	defer d.control.Stop(t.Context())
	hello := &wire.Hello{Version: wire.Version, Role: wire.Role_ROLE_AGENT, Name: "a", Incarnation: "1", GraceMs: 2001}
	d.helloFrame(time.Now(), 7, hello)
	require.Empty(t, d.agents.byConn)
	require.Contains(t, logs.All()[0].ContextMap()["reason"], "timing.grace-ms: 2001, limit 2000")
	hello.GraceMs = 2000
	d.helloFrame(time.Now(), 8, hello)
	require.Len(t, d.agents.byConn, 1)
}

func TestAnEntryWithAnotherGraceIsRefused(t *testing.T) {
	set, err := entset.Load("entry.toml", []byte(settings))
	require.NoError(t, err)
	core, logs := observer.New(zap.WarnLevel)
	d, err := New(set, zap.New(core))
	require.NoError(t, err)
	defer d.control.Stop(t.Context())
	hello := &wire.PeerHello{From: &wire.Member{Name: "entry-2"}, To: codec.IdentOut(d.ident()), GraceMs: 1999}
	d.peerHello(7, hello)
	require.Empty(t, d.heardFrom)
	require.Contains(t, logs.All()[0].ContextMap()["reason"], "timing.grace-ms: 1999, here 2000")
	hello.GraceMs = 2000
	d.peerHello(8, hello)
	require.Len(t, d.heardFrom, 1)
	hello.To = nil
	d.peerHello(9, hello)
	require.Len(t, d.heardFrom, 1, "a hello for another incarnation")
}
