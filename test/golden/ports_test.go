package golden

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/rogpeppe/go-internal/testscript"
)

// Cases take ports below the kernel's ephemeral range. One from inside it could be given, once its process has ended, to a
// server of another case, which would then meet the first case's redialling processes.
const (
	firstPort = 12_000
	portCount = 18_000
)

// nextPort begins at a place that differs between test processes that run side by side.
var nextPort atomic.Uint32

func init() { nextPort.Store(uint32(os.Getpid()) * 61) }

// ports NAME... sets each variable to a free address on the loopback.
func ports(ts *testscript.TestScript, _ bool, names []string) {
	for _, name := range names {
		address := freeAddress(ts)
		ts.Setenv(name, address)
		sessionOf(ts).name(address, name)
	}
}

func freeAddress(ts *testscript.TestScript) string {
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%portCount)
		if l, err := net.Listen("tcp", address); err == nil {
			ts.Check(l.Close())
			return address
		}
	}
	ts.Fatalf("no free port")
	return ""
}
