package addr_test

import (
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"persimmonstage/io/addr"
)

// TestOddAddressesAreNotDialable guards against a look-up of names, or a connection to an impossible port, for what another writer
// left as an address.
func TestOddAddressesAreNotDialable(t *testing.T) {
	for _, s := range []string{"10.0.0.1:1", "10.0.0.1:65535", "[fd00::1]:80"} {
		require.True(t, addr.Dialable(s), s)
	}
	for _, s := range []string{
		"", "7", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:99999999999", "10.0.0.1:-1", "10.0.0.1:http",
		"host.example:80", "localhost:80", "10.0.0.1:80/path", "http://10.0.0.1:80", "fd00::1:80", " 10.0.0.1:80", "10.0.0.1:80\n",
		"10.0.0.1:80\x00", "\xff\xfe", strings.Repeat("1", 100_000), ":80", "10.0.0.1:1.5", "1e400",
	} {
		require.False(t, addr.Dialable(s), "%.80q", s)
	}
}

func TestHostIsTheAddressWithoutItsPort(t *testing.T) {
	require.Equal(t, "10.0.0.1", addr.Host(&net.TCPAddr{IP: net.IPv4(10, 0, 0, 1), Port: 80}))
	require.Equal(t, "/run/socket", addr.Host(&net.UnixAddr{Name: "/run/socket"}))
}
