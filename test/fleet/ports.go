package fleet

import (
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"testing"
)

// The ports lie below those that the kernel gives to outgoing connections, which could take a port between its choice here and
// the start of its process.
const (
	firstPort = 12_000
	ports     = 18_000
	pidStride = 211
)

var nextPort atomic.Int64

// freeAddr gives an address on which nothing listens, and which no other call of this process has given.
func freeAddr(t *testing.T) string {
	t.Helper()
	for range ports {
		port := firstPort + (int64(os.Getpid())*pidStride+nextPort.Add(1))%ports
		addr := net.JoinHostPort("127.0.0.1", strconv.FormatInt(port, 10))
		l, err := net.Listen("tcp", addr)
		if err == nil {
			_ = l.Close()
			return addr
		}
	}
	t.Fatal("no port is free")
	return ""
}
