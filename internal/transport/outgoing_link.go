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

// outgoingLink sends messages to a peer, on a connection that this node dials.
type outgoingLink struct {
	self, peer    protocol.NodeName
	address       string
	events        chan<- coordination.Event
	queue         chan protocol.PeerMessage
	coalesceDelay time.Duration // how long heartbeats forwarded to the leader wait for others

	mu   sync.Mutex
	conn net.Conn
}

// coalesceDelay returns how long heartbeats are gathered for one write. The delay limits the
// CPU time that the leader spends on the writes from all its peers to PeerWriteCPUShare.
func coalesceDelay(cfg *config.Config) time.Duration {
	delayPerPeer := cfg.Cluster.Process.ThrottleInterval(tuning.PeerWriteCPUCost, tuning.PeerWriteCPUShare)
	return min(delayPerPeer*time.Duration(len(cfg.Peers)), tuning.MaxCoalesceDelay)
}

// run dials the peer and sends to it. When the connection ends, it dials again, until the context
// ends.
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

// sendUntilClosed sends the queued messages on a connection until it ends, and then closes it.
func (l *outgoingLink) sendUntilClosed(ctx context.Context, conn net.Conn) {
	closed := make(chan struct{})
	closeConn := closeOnDone(ctx, conn)
	defer func() {
		closeConn()
		<-closed
	}()
	go func() {
		// The peer never writes on this connection: Read returns when the connection ends.
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

// nextFrames waits for a message and appends the frames of all queued messages, up to about
// PeerBatchBytes. As long as all of them are heartbeats, it waits up to coalesceDelay for more.
// It returns nil if the connection or the context has ended.
func (l *outgoingLink) nextFrames(ctx context.Context, closed <-chan struct{}, frames []byte) []byte {
	mayWait := true // all messages so far are heartbeats, which may wait for others
	var coalesceTimeout <-chan time.Time
	for len(frames) < tuning.PeerBatchBytes {
		var m protocol.PeerMessage
		select {
		case m = <-l.queue:
		default:
			if len(frames) > 0 && !mayWait {
				return frames
			}
			select {
			case m = <-l.queue:
			case <-coalesceTimeout:
				return frames
			case <-ctx.Done():
				return nil
			case <-closed:
				return nil
			}
		}
		_, isHeartbeat := m.(protocol.PeerForwardedHeartbeat)
		mayWait = mayWait && isHeartbeat && l.coalesceDelay > 0
		if mayWait && coalesceTimeout == nil {
			coalesceTimeout = time.After(l.coalesceDelay)
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

// reset closes the connection. run then dials again.
func (l *outgoingLink) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		l.conn.Close()
	}
}
