//go:build review

package main

import (
	"net"
	"sync"
	"time"
)

// pollInterval is how often a blocked connection checks whether the link works again.
const pollInterval = 5 * time.Millisecond

// link is a proxy in front of one server, as seen by one process. While it is cut, no byte passes
// in either direction. As with TCP, bytes that were sent on an established connection arrive once
// the link works again, also if the sender has closed the connection meanwhile. A connection that
// is opened during the cut never reaches the server.
type link struct {
	ln     net.Listener
	target string

	mu    sync.Mutex
	isCut bool
}

func newLink(target string) (*link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{ln: ln, target: target}
	go l.serve()
	return l, nil
}

func (l *link) address() string { return l.ln.Addr().String() }

func (l *link) setCut(isCut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut = isCut
}

func (l *link) cut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isCut
}

func (l *link) serve() {
	for {
		client, err := l.ln.Accept()
		if err != nil {
			return
		}
		if l.cut() {
			go discard(client)
			continue
		}
		server, err := net.DialTimeout("tcp", l.target, time.Second)
		if err != nil {
			_ = client.Close()
			continue
		}
		go l.forward(server, client)
		go l.forward(client, server)
	}
}

// discard reads and drops what a client sends on a connection that would not have been
// established.
func discard(client net.Conn) {
	defer func() { _ = client.Close() }()
	buffer := make([]byte, 4096)
	for {
		if _, err := client.Read(buffer); err != nil {
			return
		}
	}
}

// forward copies one direction. The end of a connection is delayed like its bytes.
func (l *link) forward(to, from net.Conn) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		for l.cut() {
			time.Sleep(pollInterval)
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
