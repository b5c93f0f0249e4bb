package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// A link passes TCP connections on to a target. It can hold back what is sent, as a cut network
// does: what was sent before is delivered in order afterwards, a connection attempt that was given
// up is not.

type linkMode int

const (
	pass linkMode = iota
	hold
	reset
)

type link struct {
	mu      sync.Mutex
	cond    *sync.Cond
	mode    linkMode
	target  string
	address string
	conns   map[net.Conn]bool
}

func newLink(target string) *link {
	l := &link{target: target, conns: map[net.Conn]bool{}}
	l.cond = sync.NewCond(&l.mu)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal("listen: %v", err)
	}
	l.address = ln.Addr().String()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go l.serve(c)
		}
	}()
	return l
}

func (l *link) set(m linkMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = m
	if m == reset {
		for c := range l.conns {
			if t, ok := c.(*net.TCPConn); ok {
				t.SetLinger(0)
			}
			c.Close()
		}
	}
	l.cond.Broadcast()
}

// wait blocks while the link holds packets. It returns false if the link resets connections.
func (l *link) wait() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.mode == hold {
		l.cond.Wait()
	}
	return l.mode == pass
}

func (l *link) track(c net.Conn, on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if on {
		l.conns[c] = true
	} else {
		delete(l.conns, c)
	}
}

func (l *link) serve(in net.Conn) {
	defer in.Close()
	l.mu.Lock()
	held := l.mode == hold
	l.mu.Unlock()
	if !l.wait() {
		return
	}
	if held && givenUp(in) {
		return
	}
	out, err := net.DialTimeout("tcp", l.target, 2*time.Second)
	if err != nil {
		return
	}
	defer out.Close()
	l.track(in, true)
	l.track(out, true)
	defer l.track(in, false)
	defer l.track(out, false)
	done := make(chan bool, 2)
	copyAll := func(dst, src net.Conn) {
		b := make([]byte, 32<<10)
		for {
			n, err := src.Read(b)
			if !l.wait() {
				break
			}
			if n > 0 {
				if _, err := dst.Write(b[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		if t, ok := dst.(*net.TCPConn); ok {
			t.CloseWrite()
		}
		done <- true
	}
	go copyAll(out, in)
	go copyAll(in, out)
	<-done
	select {
	case <-done:
	case <-time.After(5 * time.Second):
	}
}

// givenUp reports whether the client has closed a connection that was never served.
func givenUp(c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	raw.Read(func(fd uintptr) bool { closed = peekEOF(fd); return true })
	return closed
}

var _ = io.EOF
