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
	"golang.org/x/time/rate"
)

// peerLinks are the links between this controller and its peers. Every node dials every peer. It
// sends only on connections that it dialled, and reads only from connections that it accepted.
type peerLinks struct {
	address       string
	log           *slog.Logger
	events        chan<- coordination.Event
	outgoing      map[protocol.NodeName]*outgoingLink
	unidentified  *admission                       // connections on which no name has arrived
	refusals      *rate.Sometimes                  // limits the log of links on which no name has arrived
	identified    map[protocol.NodeName]*admission // the others, by peer
	acceptedLinks atomic.Uint64                    // count of links accepted so far; also the number of the latest
}

func newPeerLinks(cfg *config.Config, log *slog.Logger, events chan<- coordination.Event) *peerLinks {
	p := &peerLinks{
		address: cfg.PeerListen, log: log, events: events, outgoing: map[protocol.NodeName]*outgoingLink{},
		unidentified: newAdmission(tuning.MaxUnidentifiedLinks), refusals: limitedLog(), identified: map[protocol.NodeName]*admission{},
	}
	for _, peer := range cfg.Peers {
		p.identified[peer.Name] = newAdmission(tuning.MaxLinksPerPeer)
		p.outgoing[peer.Name] = &outgoingLink{
			self: cfg.Name, peer: peer.Name, address: peer.Addr, events: events,
			queue:         make(chan protocol.PeerMessage, max(tuning.MinPeerQueueLength, cfg.Cluster.Process.FDLimit)),
			coalesceDelay: coalesceDelay(cfg),
		}
	}
	return p
}

// start listens for peers and dials every peer, in goroutines that end with the context.
func (p *peerLinks) start(ctx context.Context, running *sync.WaitGroup) error {
	tcp, err := listen(ctx, p.address)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	listener := newAdmittingListener(tcp, p.unidentified)
	context.AfterFunc(ctx, func() {
		listener.Close()
		for _, links := range p.identified {
			links.stop()
		}
	})
	running.Go(func() { p.accept(ctx, listener, running) })
	for _, l := range p.outgoing {
		running.Go(func() { l.run(ctx) })
	}
	return nil
}

// accept waits for connections from peers and reads each one in its own goroutine.
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
			// The process may be out of sockets. Existing links continue.
			p.log.Error("peer link not accepted", "error", err)
			sleep(ctx, tuning.PeerRedialDelay)
		default:
			running.Go(func() { p.receive(ctx, conn) })
		}
	}
}

// receive reads a peer's frames until one is invalid, none arrives within PeerReadTimeout or the
// connection ends.
func (p *peerLinks) receive(ctx context.Context, conn net.Conn) {
	defer closeOnDone(ctx, conn)()
	links := p.unidentified
	defer func() { links.release(conn) }()
	r := bufio.NewReaderSize(conn, tuning.PeerBatchBytes)
	name, linkNumber := protocol.NodeName(""), p.acceptedLinks.Add(1)
	for {
		conn.SetReadDeadline(time.Now().Add(tuning.PeerReadTimeout))
		m, err := protocol.ReadPeerFrame(r)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			p.logEnd(name, conn, err)
			return
		}
		hello, isHello := m.(protocol.PeerHello)
		switch {
		case isHello && name == "" && p.outgoing[hello.Node] != nil:
			name = hello.Node
			links.release(conn)
			links = p.identified[name]
			if !links.admit(conn) {
				return
			}
		case isHello || name == "":
			p.refusals.Do(func() {
				p.log.Error("peer link refused", "peer", hello.Node, "remote", conn.RemoteAddr().String())
			})
			return
		}
		links.markActive(conn)
		enqueue(ctx, p.events, coordination.PeerReceive{Peer: name, Link: linkNumber, Message: m})
	}
}

// logEnd logs the end of a link.
func (p *peerLinks) logEnd(name protocol.NodeName, conn net.Conn, err error) {
	log := func() {
		p.log.Info("peer link ended", "peer", name, "remote", conn.RemoteAddr().String(), "error", err)
	}
	if name == "" {
		p.refusals.Do(log)
		return
	}
	log()
}

// limitedLog returns a limit for the log of what senders of invalid input can cause at any rate.
func limitedLog() *rate.Sometimes {
	return &rate.Sometimes{First: tuning.UnlimitedRefusals, Interval: tuning.RefusalLogInterval}
}

// send queues a message for a peer. If the queue is full, the message is lost, as it would be on a
// broken link.
func (p *peerLinks) send(name protocol.NodeName, m protocol.PeerMessage) {
	if l := p.outgoing[name]; l != nil {
		l.send(m)
	}
}

// reset closes the link to a peer that has gone silent, so that the peer is dialled again.
func (p *peerLinks) reset(name protocol.NodeName) {
	if l := p.outgoing[name]; l != nil {
		l.reset()
	}
}

// enqueue adds an event to the event loop's queue. If the queue is full, it waits until there is
// room or the context ends.
func enqueue(ctx context.Context, events chan<- coordination.Event, e coordination.Event) {
	select {
	case events <- e:
	case <-ctx.Done():
	}
}

// sleep waits for the given time or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// closeOnDone closes a connection when the context ends or when closeConn is called.
func closeOnDone(ctx context.Context, conn net.Conn) (closeConn func()) {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	return func() {
		stop()
		conn.Close()
	}
}
