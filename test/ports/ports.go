package ports

import (
	"net"
	"strconv"
	"sync"
)

// The ports lie below the kernel's ephemeral range, since an outgoing connection could take a port between its allocation and the
// start of the process that listens on it.
const (
	firstPort = 12_000
	blockSize = 100
	blocks    = 180
)

// Allocator returns each port once. A process reserves a block of ports by listening on the first one until it exits, so that
// no other test process gets a port that is allocated now and used much later, by a process not started yet.
// The zero value works.
type Allocator struct {
	mu       sync.Mutex
	block    int // the next block to try
	next     int // the next port in the reserved block
	reserved []net.Listener
}

// Free returns an address on loopback on which nothing listens, or an error when all blocks are reserved.
func (p *Allocator) Free() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		if len(p.reserved) == 0 || p.next == blockSize {
			if err := p.reserveBlock(); err != nil {
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

// reserveBlock reserves the next block that no other process has reserved.
func (p *Allocator) reserveBlock() error {
	for ; p.block < blocks; p.block++ {
		l, err := net.Listen("tcp", address(p.block*blockSize))
		if err != nil {
			continue
		}
		p.reserved = append(p.reserved, l)
		p.block++
		p.next = 1
		return nil
	}
	return &net.AddrError{Err: "every block of ports is reserved", Addr: address(0)}
}

func address(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+port)) }
