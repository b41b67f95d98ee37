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

// An agent with a longer grace period than the entries could still obey a replaced owner after a takeover.
func TestAgentWithLongerGraceIsRefused(t *testing.T) {
	set, err := entset.Load("entry.toml", []byte(settings))
	require.NoError(t, err)
	core, logs := observer.New(zap.WarnLevel)
	d, err := New(set, zap.New(core))
	require.NoError(t, err)
	defer d.control.Stop(t.Context())
	hello := &wire.Hello{Version: wire.Version, Role: wire.Role_ROLE_AGENT, Name: "a", Incarnation: "1", GraceMs: 2001}
	d.handleHello(time.Now(), 7, hello)
	require.Empty(t, d.agents.byConn)
	require.Contains(t, logs.All()[0].ContextMap()["reason"], "timing.grace-ms: 2001, limit 2000")
	hello.GraceMs = 2000
	d.handleHello(time.Now(), 8, hello)
	require.Len(t, d.agents.byConn, 1)
}

func TestEntryWithDifferentGraceIsRefused(t *testing.T) {
	set, err := entset.Load("entry.toml", []byte(settings))
	require.NoError(t, err)
	core, logs := observer.New(zap.WarnLevel)
	d, err := New(set, zap.New(core))
	require.NoError(t, err)
	defer d.control.Stop(t.Context())
	hello := &wire.PeerHello{From: &wire.Member{Name: "entry-2"}, To: codec.EncodeIdent(d.ident()), GraceMs: 1999}
	d.handlePeerHello(7, hello)
	require.Empty(t, d.peerByConn)
	require.Contains(t, logs.All()[0].ContextMap()["reason"], "timing.grace-ms: 1999, here 2000")
	hello.GraceMs = 2000
	d.handlePeerHello(8, hello)
	require.Len(t, d.peerByConn, 1)
	hello.To = nil
	d.handlePeerHello(9, hello)
	require.Len(t, d.peerByConn, 1, "a hello for another incarnation")
}
