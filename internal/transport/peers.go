package transport

import (
	"bufio"
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// peers keeps the links between controllers. Every node dials every peer
// and sends on the connection that it dialled; it only reads from those that
// it accepted.
type peers struct {
	cfg    *config.Config
	log    *slog.Logger
	events chan<- coordination.Event
	links  map[protocol.NodeName]*link
	gather time.Duration // for which workers' reports wait for others on their way to the leader
	taken  atomic.Uint64 // links accepted so far
}

type link struct {
	name  protocol.NodeName
	addr  string
	queue chan protocol.PeerMessage
	mu    sync.Mutex
	conn  net.Conn
}

func newPeers(cfg *config.Config, log *slog.Logger, events chan<- coordination.Event) *peers {
	p := &peers{cfg: cfg, log: log, events: events, links: map[protocol.NodeName]*link{}, gather: gatherFor(cfg)}
	for _, s := range cfg.Peers {
		p.links[s.Name] = &link{name: s.Name, addr: s.Addr, queue: make(chan protocol.PeerMessage, max(tuning.MinPeerQueueLength, cfg.Cluster.Resources.FDLimit))}
	}
	return p
}

// gatherFor is how long reports are gathered for one frame write, so that what
// all peers send costs the leader no more than its share of processor time.
func gatherFor(cfg *config.Config) time.Duration {
	each := cfg.Cluster.Resources.Pause(tuning.PeerWriteCPUCost, tuning.PeerWriteCPUShare)
	return min(each*time.Duration(len(cfg.Peers)), tuning.MaxCoalesceDelay)
}

func (p *peers) start(ctx context.Context) error {
	ln, err := listen(ctx, p.cfg.PeerListen)
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
				time.Sleep(tuning.PeerRedialDelay)
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
func (p *peers) send(name protocol.NodeName, m protocol.PeerMessage) {
	if l := p.links[name]; l != nil {
		select {
		case l.queue <- m:
		default:
		}
	}
}

// reset closes a link that has gone silent, so that it is dialled anew.
func (p *peers) reset(name protocol.NodeName) {
	if l := p.links[name]; l != nil {
		l.mu.Lock()
		if l.conn != nil {
			l.conn.Close()
		}
		l.mu.Unlock()
	}
}

// keep dials a peer for as long as the process lives.
func (p *peers) keep(ctx context.Context, l *link) {
	dialer := net.Dialer{Timeout: tuning.DialTimeout, KeepAlive: noKeepAlive}
	for ctx.Err() == nil {
		conn, err := dialer.DialContext(ctx, "tcp", l.addr)
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
		case <-time.After(tuning.PeerRedialDelay):
		}
	}
}

func (p *peers) write(ctx context.Context, l *link, conn net.Conn) {
	// The peer never writes here: a read returns when the link ends.
	ended := make(chan struct{})
	go func() {
		var b [1]byte
		conn.Read(b[:])
		close(ended)
	}()
	buf := protocol.AppendPeerFrame(nil, protocol.PeerHello{Node: p.cfg.Name})
	for {
		conn.SetWriteDeadline(time.Now().Add(tuning.PeerWriteTimeout))
		if _, err := conn.Write(buf); err != nil {
			return
		}
		if buf = p.collect(ctx, l, ended, buf[:0]); len(buf) == 0 {
			return
		}
	}
}

// collect appends the frames of the messages that wait for a link, as many as
// one write takes; workers' reports alone are gathered for a while. Nothing: the
// link has ended.
func (p *peers) collect(ctx context.Context, l *link, ended <-chan struct{}, buf []byte) []byte {
	gathering := true // only reports so far
	var gathered <-chan time.Time
	for len(buf) < tuning.PeerBatchBytes {
		var m protocol.PeerMessage
		select {
		case m = <-l.queue:
		default:
			if len(buf) > 0 && !gathering {
				return buf
			}
			select {
			case m = <-l.queue:
			case <-gathered:
				return buf
			case <-ctx.Done():
				return nil
			case <-ended:
				return nil
			}
		}
		_, report := m.(protocol.PeerForwardedHeartbeat)
		gathering = gathering && report && p.gather > 0
		if gathering && gathered == nil {
			gathered = time.After(p.gather)
		}
		buf = protocol.AppendPeerFrame(buf, m)
	}
	return buf
}

// read takes a peer's frames until one is wrong or none comes.
func (p *peers) read(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReaderSize(conn, tuning.PeerBatchBytes)
	name, number := protocol.NodeName(""), p.taken.Add(1)
	for {
		conn.SetReadDeadline(time.Now().Add(tuning.PeerReadTimeout))
		m, err := protocol.ReadPeerFrame(r)
		if err != nil {
			p.log.Info("peer link ended", "peer", name, "remote", conn.RemoteAddr().String(), "error", err)
			return
		}
		hello, first := m.(protocol.PeerHello)
		switch {
		case first && name == "" && p.links[hello.Node] != nil:
			name = hello.Node
			p.events <- coordination.PeerReceive{Peer: name, Link: number, Message: m}
		case first || name == "":
			p.log.Error("peer link refused", "peer", hello.Node, "remote", conn.RemoteAddr().String())
			return
		default:
			p.events <- coordination.PeerReceive{Peer: name, Link: number, Message: m}
		}
	}
}
