package ports

import (
	"net"
	"strconv"
	"sync"
)

// The ports lie below those that the kernel gives to outgoing connections, which could take a port between its choice and the
// start of its process.
const (
	firstPort = 12_000
	blockSize = 100
	blocks    = 180
)

// Allocator gives each port once. A process holds the blocks that it gives from by listening on the first port of each until it
// ends, so that a port that is given now and used much later, by a process not started yet, is nobody else's meanwhile.
// The zero value works.
type Allocator struct {
	mu    sync.Mutex
	block int // the next to try
	next  int // in the held block
	held  []net.Listener
}

// Free returns an address on loopback on which nothing listens, or an error when all blocks are held.
func (p *Allocator) Free() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		if len(p.held) == 0 || p.next == blockSize {
			if err := p.hold(); err != nil {
				return "", err
			}
		}
		addr := address((p.block-1)*blockSize + p.next)
		p.next++
		if l, err := net.Listen("tcp", addr); err == nil {
			return addr, l.Close()
		}
	}
}

// hold takes the next block that no other process holds.
func (p *Allocator) hold() error {
	for ; p.block < blocks; p.block++ {
		l, err := net.Listen("tcp", address(p.block*blockSize))
		if err != nil {
			continue
		}
		p.held = append(p.held, l)
		p.block++
		p.next = 1
		return nil
	}
	return &net.AddrError{Err: "every block of ports is held", Addr: address(0)}
}

func address(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+port)) }
