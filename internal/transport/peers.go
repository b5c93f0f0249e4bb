package transport

import (
	"bufio"
	"context"
	"fmt"
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

// peerLinks are the links between controllers. Every node dials every peer and sends on
// the connection that it dialled; it only reads from those that it accepted.
type peerLinks struct {
	address       string
	log           *slog.Logger
	events        chan<- coordination.Event
	outgoing      map[protocol.NodeName]*outgoingLink
	acceptedLinks atomic.Uint64 // links so far, which number them
}

func newPeerLinks(cfg *config.Config, log *slog.Logger, events chan<- coordination.Event) *peerLinks {
	p := &peerLinks{address: cfg.PeerListen, log: log, events: events, outgoing: map[protocol.NodeName]*outgoingLink{}}
	for _, peer := range cfg.Peers {
		p.outgoing[peer.Name] = &outgoingLink{
			self: cfg.Name, peer: peer.Name, address: peer.Addr, events: events,
			queue:         make(chan protocol.PeerMessage, max(tuning.MinPeerQueueLength, cfg.Cluster.Process.FDLimit)),
			coalesceDelay: coalesceDelay(cfg),
		}
	}
	return p
}

// start listens for peers and dials them, in goroutines that end with the context.
func (p *peerLinks) start(ctx context.Context, running *sync.WaitGroup) error {
	listener, err := listen(ctx, p.address)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	context.AfterFunc(ctx, func() { listener.Close() })
	running.Go(func() { p.accept(ctx, listener, running) })
	for _, l := range p.outgoing {
		running.Go(func() { l.run(ctx) })
	}
	return nil
}

// accept has every link that a peer opens read.
func (p *peerLinks) accept(ctx context.Context, listener net.Listener, running *sync.WaitGroup) {
	for {
		conn, err := listener.Accept()
		switch {
		case ctx.Err() != nil:
			if err == nil {
				conn.Close()
			}
			return
		case err != nil:
			// Out of sockets, perhaps: what is there goes on.
			p.log.Error("peer link not accepted", "error", err)
			sleep(ctx, tuning.PeerRedialDelay)
		default:
			running.Go(func() { p.receive(ctx, conn) })
		}
	}
}

// receive takes a peer's frames until one is wrong or none comes.
func (p *peerLinks) receive(ctx context.Context, conn net.Conn) {
	defer closeOnDone(ctx, conn)()
	r := bufio.NewReaderSize(conn, tuning.PeerBatchBytes)
	name, number := protocol.NodeName(""), p.acceptedLinks.Add(1)
	for {
		conn.SetReadDeadline(time.Now().Add(tuning.PeerReadTimeout))
		m, err := protocol.ReadPeerFrame(r)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			p.log.Info("peer link ended", "peer", name, "remote", conn.RemoteAddr().String(), "error", err)
			return
		}
		hello, first := m.(protocol.PeerHello)
		switch {
		case first && name == "" && p.outgoing[hello.Node] != nil:
			name = hello.Node
		case first || name == "":
			p.log.Error("peer link refused", "peer", hello.Node, "remote", conn.RemoteAddr().String())
			return
		}
		enqueue(ctx, p.events, coordination.PeerReceive{Peer: name, Link: number, Message: m})
	}
}

// send queues a message; a full queue drops it, as a broken link would.
func (p *peerLinks) send(name protocol.NodeName, m protocol.PeerMessage) {
	if l := p.outgoing[name]; l != nil {
		l.send(m)
	}
}

// reset closes a link that has gone silent, so that it is dialled anew.
func (p *peerLinks) reset(name protocol.NodeName) {
	if l := p.outgoing[name]; l != nil {
		l.reset()
	}
}

// enqueue queues an event for the event loop, unless the context ends first.
func enqueue(ctx context.Context, events chan<- coordination.Event, e coordination.Event) {
	select {
	case events <- e:
	case <-ctx.Done():
	}
}

// sleep waits, but not beyond the context's end.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// closeOnDone closes a connection when the context ends or the function returned is called.
func closeOnDone(ctx context.Context, conn net.Conn) (end func()) {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	return func() {
		stop()
		conn.Close()
	}
}
