package transport

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gappond/gappond/internal/coordination"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// eventLoop owns the state machine: only its goroutine calls it. It takes events from the queues in
// batches, and passes the resulting actions to the parts of the package that carry them out.
type eventLoop struct {
	node        *coordination.Node
	queues      *eventQueues
	pending     *pendingRequests
	clients     *clients
	peers       *peerLinks
	connections *connectionLimits
	metrics     *metrics
	ready       atomic.Bool
	running     sync.WaitGroup // confirmations that wait to be sent
}

// run steps the state machine until the context ends.
func (l *eventLoop) run(ctx context.Context) {
	timer := time.NewTimer(tuning.MinTimerInterval)
	defer timer.Stop()
	defer l.running.Wait()
	var batch []coordination.Event
	for ctx.Err() == nil {
		batch = l.fillBatch(batch[:0])
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-timer.C:
			case e := <-l.queues.responses:
				batch = l.appendUnlessAbandoned(batch, e)
			case e := <-l.queues.heartbeats:
				batch = l.appendUnlessAbandoned(batch, e)
			case e := <-l.queues.users:
				batch = l.appendUnlessAbandoned(batch, e)
			}
			batch = l.fillBatch(batch)
		}
		for _, a := range l.node.Step(time.Now(), batch) {
			l.execute(ctx, a)
		}
		timer.Reset(l.node.Due())
		l.ready.Store(l.node.Ready())
		l.metrics.update(l.node, l.connections.admission.count(), l.queues.depth())
	}
}

// fillBatch appends queued events to the batch, by the priority of their queues and up to each
// queue's limit.
func (l *eventLoop) fillBatch(batch []coordination.Event) []coordination.Event {
	batch = l.drain(batch, l.queues.responses, tuning.MaxUrgentEventsPerBatch)
	batch = l.drain(batch, l.queues.heartbeats, tuning.MaxUrgentEventsPerBatch)
	return l.drain(batch, l.queues.users, tuning.MaxUserEventsPerBatch)
}

// drain moves up to limit events from a queue to the batch. It does not wait for events.
func (l *eventLoop) drain(batch []coordination.Event, queue <-chan coordination.Event, limit int) []coordination.Event {
	for range limit {
		select {
		case e := <-queue:
			batch = l.appendUnlessAbandoned(batch, e)
		default:
			return batch
		}
	}
	return batch
}

// appendUnlessAbandoned appends an event to the batch, unless it came with a request whose reply
// nobody awaits any more: a node that has fallen behind must not spend its time on such replies.
func (l *eventLoop) appendUnlessAbandoned(batch []coordination.Event, e coordination.Event) []coordination.Event {
	if id := requestID(e); id != 0 && !l.pending.isPending(id) {
		return batch
	}
	return append(batch, e)
}

// requestID returns the ID of the request that an event came with, or 0 if it came with none.
func requestID(e coordination.Event) uint64 {
	switch e := e.(type) {
	case coordination.AgentHeartbeat:
		return e.ID
	case coordination.Submit:
		return e.ID
	case coordination.StatusQuery:
		return e.ID
	case coordination.Cancel:
		return e.ID
	}
	return 0
}

// execute carries out an action of the state machine, or starts a request in the background. It
// never blocks.
func (l *eventLoop) execute(ctx context.Context, a coordination.Action) {
	switch a := a.(type) {
	case coordination.Request:
		l.clients.start(ctx, a)
	case coordination.Reply:
		l.pending.deliver(a)
	case coordination.PeerSend:
		l.sendToPeer(a)
	case coordination.PeerLinkReset:
		l.peers.reset(a.Peer)
	}
}

// sendToPeer sends a message to a peer. The peer relies on a PeerAnswerConfirmation to arrive after every
// reply about the job that was decided before, so it waits until those are written. If that takes too
// long, it is not sent.
func (l *eventLoop) sendToPeer(a coordination.PeerSend) {
	if confirmation, ok := a.Message.(protocol.PeerAnswerConfirmation); ok {
		if written := l.pending.order.written(confirmation.Job); written != nil {
			l.running.Go(func() {
				if waitFor(written) {
					l.peers.send(a.Peer, a.Message)
				}
			})
			return
		}
	}
	l.peers.send(a.Peer, a.Message)
}
