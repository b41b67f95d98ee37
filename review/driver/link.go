//go:build review

package main

import (
	"net"
	"sync"
)

// link is a path between clients and an entry that can be cut: while it is, what either side sends is held up, also the end of its
// channel, and arrives once the path is whole again.
type link struct {
	listener net.Listener
	mu       sync.Mutex
	whole    chan struct{} // closed while the path is whole
}

func newLink(from, to string) (*link, error) {
	ln, err := net.Listen("tcp", from)
	if err != nil {
		return nil, err
	}
	l := &link{listener: ln, whole: make(chan struct{})}
	close(l.whole)
	go func() {
		for {
			client, err := ln.Accept()
			if err != nil {
				return
			}
			entry, err := net.Dial("tcp", to)
			if err != nil {
				client.Close()
				continue
			}
			go l.carry(client, entry)
			go l.carry(entry, client)
		}
	}()
	return l, nil
}

// carry passes on what one side sends, and the end of its channel.
func (l *link) carry(from, to net.Conn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		l.await()
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
	}
}

func (l *link) await() {
	l.mu.Lock()
	whole := l.whole
	l.mu.Unlock()
	<-whole
}

func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.whole = make(chan struct{})
}

func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.whole)
}

func (l *link) close() { _ = l.listener.Close() }
