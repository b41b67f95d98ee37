package fleet

import (
	"encoding/hex"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/test/relay"
)

// listenAddrs returns the addresses on which an entry listens, and the settings that advertise the relays in front of them.
func (f *Fleet) listenAddrs(i int) (control, bulk, advertised string) {
	if !f.options.Relayed {
		return f.control[i], f.bulk[i], ""
	}
	control, bulk = freeAddr(f.t), freeAddr(f.t)
	f.addRelay(entryName(i), f.control[i], control)
	f.addRelay(entryName(i), f.bulk[i], bulk)
	return control, bulk, fmt.Sprintf("advertise-control = %q\nadvertise-bulk = %q\n", f.control[i], f.bulk[i])
}

func (f *Fleet) addRelay(name, addr, target string) {
	r, err := relay.New(addr, target, f.dialler)
	require.NoError(f.t, err)
	f.t.Cleanup(r.Close)
	f.relays[name] = append(f.relays[name], r)
}

// Cut sets the mode of what one process sends to another, on existing and future connections that either of them dials.
func (f *Fleet) Cut(from, to string, mode relay.Mode) {
	for _, r := range f.relays[to] {
		r.SetMode(from, relay.In, mode)
	}
	for _, r := range f.relays[from] {
		r.SetMode(to, relay.Out, mode)
	}
}

// lookups is the number of searches for a socket, since the kernel's table changes while it is read.
const lookups = 20

// dialler returns the name of the process at the other end of an accepted connection, or "" if that has exited.
func (f *Fleet) dialler(accepted net.Conn) string {
	for range lookups {
		if name := f.processHolding(socketInode(accepted.RemoteAddr(), accepted.LocalAddr())); name != "" {
			return name
		}
		time.Sleep(time.Millisecond)
	}
	return ""
}

func (f *Fleet) processHolding(inode string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, c := range f.procs {
		files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", c.Process.Pid))
		for _, file := range files {
			if link, _ := os.Readlink(file); inode != "" && link == "socket:["+inode+"]" {
				return name
			}
		}
	}
	return ""
}

const inodeField = 9 // of a line of /proc/net/tcp, which has the local and the remote address in fields 1 and 2

// socketInode returns the inode of the socket with the given addresses, or "" if there is none.
func socketInode(local, remote net.Addr) string {
	table, _ := os.ReadFile("/proc/net/tcp")
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) > inodeField && fields[1] == tableAddr(local) && fields[2] == tableAddr(remote) {
			return fields[inodeField]
		}
	}
	return ""
}

// tableAddr formats an IPv4 address as /proc/net/tcp does.
func tableAddr(a net.Addr) string {
	at := netip.MustParseAddrPort(a.String())
	ip := at.Addr().As4()
	return fmt.Sprintf("%s:%04X", strings.ToUpper(hex.EncodeToString([]byte{ip[3], ip[2], ip[1], ip[0]})), at.Port())
}

// CutAnswers is like Cut for only the connections that to dials: its requests arrive, the answers don't.
func (f *Fleet) CutAnswers(from, to string, mode relay.Mode) {
	for _, r := range f.relays[from] {
		r.SetMode(to, relay.Out, mode)
	}
}
