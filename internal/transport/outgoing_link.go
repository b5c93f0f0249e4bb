package transport

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// outgoingLink is the connection on which this node sends to a peer.
type outgoingLink struct {
	self, peer    protocol.NodeName
	address       string
	events        chan<- coordination.Event
	queue         chan protocol.PeerMessage
	coalesceDelay time.Duration // for which heartbeats wait for others on their way to the leader

	mu   sync.Mutex
	conn net.Conn
}

// coalesceDelay is how long heartbeats are gathered for one write, so that what all
// peers send costs the leader no more than its share of processor time.
func coalesceDelay(cfg *config.Config) time.Duration {
	each := cfg.Cluster.Process.ThrottleInterval(tuning.PeerWriteCPUCost, tuning.PeerWriteCPUShare)
	return min(each*time.Duration(len(cfg.Peers)), tuning.MaxCoalesceDelay)
}

// run dials the peer and sends to it, again and again until the context ends.
func (l *outgoingLink) run(ctx context.Context) {
	dialer := net.Dialer{Timeout: tuning.DialTimeout, KeepAlive: noKeepAlive}
	for ctx.Err() == nil {
		conn, err := dialer.DialContext(ctx, "tcp", l.address)
		if err == nil {
			l.mu.Lock()
			l.conn = conn
			l.mu.Unlock()
			enqueue(ctx, l.events, coordination.PeerLinkUp{Peer: l.peer})
			l.sendUntilClosed(ctx, conn)
			enqueue(ctx, l.events, coordination.PeerLinkDown{Peer: l.peer})
		}
		sleep(ctx, tuning.PeerRedialDelay)
	}
}

// sendUntilClosed sends on a connection until it ends, and closes it.
func (l *outgoingLink) sendUntilClosed(ctx context.Context, conn net.Conn) {
	closed := make(chan struct{})
	end := closeOnDone(ctx, conn)
	defer func() {
		end()
		<-closed
	}()
	go func() {
		// The peer never writes here: a read returns when the connection ends.
		defer close(closed)
		var b [1]byte
		conn.Read(b[:])
	}()
	frames := protocol.AppendPeerFrame(nil, protocol.PeerHello{Node: l.self})
	for len(frames) > 0 {
		conn.SetWriteDeadline(time.Now().Add(tuning.PeerWriteTimeout))
		if _, err := conn.Write(frames); err != nil {
			return
		}
		frames = l.nextFrames(ctx, closed, frames[:0])
	}
}

// nextFrames appends the frames of the messages that wait, as many as one write takes;
// heartbeats alone are gathered for a while. Nothing: the connection has ended.
func (l *outgoingLink) nextFrames(ctx context.Context, closed <-chan struct{}, frames []byte) []byte {
	gathering := true // only heartbeats so far
	var gathered <-chan time.Time
	for len(frames) < tuning.PeerBatchBytes {
		var m protocol.PeerMessage
		select {
		case m = <-l.queue:
		default:
			if len(frames) > 0 && !gathering {
				return frames
			}
			select {
			case m = <-l.queue:
			case <-gathered:
				return frames
			case <-ctx.Done():
				return nil
			case <-closed:
				return nil
			}
		}
		_, heartbeat := m.(protocol.PeerForwardedHeartbeat)
		gathering = gathering && heartbeat && l.coalesceDelay > 0
		if gathering && gathered == nil {
			gathered = time.After(l.coalesceDelay)
		}
		frames = protocol.AppendPeerFrame(frames, m)
	}
	return frames
}

// send queues a message, or drops it if the queue is full.
func (l *outgoingLink) send(m protocol.PeerMessage) {
	select {
	case l.queue <- m:
	default:
	}
}

// reset closes the connection; run dials anew.
func (l *outgoingLink) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		l.conn.Close()
	}
}
