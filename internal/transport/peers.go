package transport

import (
	"bufio"
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// peers keeps the links between controllers. Every node dials every sibling
// and sends on the connection that it dialled; it only reads from those that
// it accepted.
type peers struct {
	cfg    *config.Config
	log    *slog.Logger
	events chan<- coordination.Event
	links  map[string]*link
}

type link struct {
	name, addr string
	queue      chan protocol.PeerMessage
	mu         sync.Mutex
	conn       net.Conn
}

func newPeers(cfg *config.Config, log *slog.Logger, events chan<- coordination.Event) *peers {
	p := &peers{cfg: cfg, log: log, events: events, links: map[string]*link{}}
	for _, s := range cfg.Siblings {
		p.links[s.Name] = &link{name: s.Name, addr: s.Addr, queue: make(chan protocol.PeerMessage, tuning.PeerQueue)}
	}
	return p
}

func (p *peers) start(ctx context.Context, failed chan<- error) error {
	ln, err := net.Listen("tcp", p.cfg.PeerListen)
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				if ctx.Err() != nil {
					return
				}
				// Out of sockets, perhaps: what is there goes on.
				p.log.Error("peer link not accepted", "error", err)
				time.Sleep(tuning.PeerRedial)
				continue
			}
			go p.read(conn)
		}
	}()
	for _, l := range p.links {
		go p.keep(ctx, l)
	}
	return nil
}

// send queues a message; a full queue drops it, as a broken link would.
func (p *peers) send(name string, m protocol.PeerMessage) {
	if l := p.links[name]; l != nil {
		select {
		case l.queue <- m:
		default:
		}
	}
}

// reset closes a link that has gone silent, so that it is dialled anew.
func (p *peers) reset(name string) {
	if l := p.links[name]; l != nil {
		l.mu.Lock()
		if l.conn != nil {
			l.conn.Close()
		}
		l.mu.Unlock()
	}
}

// keep dials a sibling for as long as the process lives.
func (p *peers) keep(ctx context.Context, l *link) {
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp", l.addr, tuning.DialTimeout)
		if err == nil {
			l.mu.Lock()
			l.conn = conn
			l.mu.Unlock()
			p.events <- coordination.PeerUp{Peer: l.name}
			p.write(ctx, l, conn)
			conn.Close()
			p.events <- coordination.PeerDown{Peer: l.name}
		}
		select {
		case <-ctx.Done():
		case <-time.After(tuning.PeerRedial):
		}
	}
}

func (p *peers) write(ctx context.Context, l *link, conn net.Conn) {
	// The sibling never writes here: a read returns when the link ends.
	ended := make(chan struct{})
	go func() {
		var b [1]byte
		conn.Read(b[:])
		close(ended)
	}()
	buf := protocol.AppendPeer(nil, protocol.PeerHello{Node: p.cfg.Name})
	for {
		conn.SetWriteDeadline(time.Now().Add(tuning.PeerWrite))
		if _, err := conn.Write(buf); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ended:
			return
		case m := <-l.queue:
			buf = protocol.AppendPeer(buf[:0], m)
		}
	}
}

// read takes a sibling's frames until one is wrong or none comes.
func (p *peers) read(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	name := ""
	for {
		conn.SetReadDeadline(time.Now().Add(tuning.PeerRead))
		m, err := protocol.ReadPeer(r)
		if err != nil {
			p.log.Info("peer link ended", "peer", name, "remote", conn.RemoteAddr().String(), "error", err)
			return
		}
		hello, first := m.(protocol.PeerHello)
		switch {
		case first && name == "" && p.links[hello.Node] != nil:
			name = hello.Node
		case first || name == "":
			p.log.Error("peer link refused", "peer", hello.Node, "remote", conn.RemoteAddr().String())
			return
		default:
			p.events <- coordination.PeerReceive{Peer: name, Message: m}
		}
	}
}
