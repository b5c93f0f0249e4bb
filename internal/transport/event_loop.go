package transport

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/gappond/gappond/internal/coordination"
	"github.com/gappond/gappond/internal/tuning"
)

// eventLoop owns the state machine: its goroutine alone calls it. It works through the
// queues in batches and hands the actions that follow to those who carry them out.
type eventLoop struct {
	node        *coordination.Node
	queues      *eventQueues
	pending     *pendingRequests
	clients     *clients
	peers       *peerLinks
	connections *connectionLimits
	metrics     *metrics
	ready       atomic.Bool
}

// run steps the state machine until the context ends.
func (l *eventLoop) run(ctx context.Context) {
	timer := time.NewTimer(tuning.MinTimerInterval)
	defer timer.Stop()
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
		l.metrics.update(l.node, int(l.connections.open.Load()), l.queues.depth())
	}
}

// fillBatch adds what waits to the batch, each kind by its rank and up to its limit.
func (l *eventLoop) fillBatch(batch []coordination.Event) []coordination.Event {
	batch = l.drain(batch, l.queues.responses, tuning.MaxUrgentEventsPerBatch)
	batch = l.drain(batch, l.queues.heartbeats, tuning.MaxUrgentEventsPerBatch)
	return l.drain(batch, l.queues.users, tuning.MaxUserEventsPerBatch)
}

// drain moves up to limit events that wait in a queue into the batch.
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

// appendUnlessAbandoned adds an event to the batch, unless whoever asked has gone: a node that has
// fallen behind must not spend its time on answers that nobody waits for.
func (l *eventLoop) appendUnlessAbandoned(batch []coordination.Event, e coordination.Event) []coordination.Event {
	if id := requestID(e); id != 0 && !l.pending.isPending(id) {
		return batch
	}
	return append(batch, e)
}

// requestID is the number of the request that an event came with, 0 if it came with none.
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

// execute carries out an action of the state machine, or has it carried out. It never
// blocks.
func (l *eventLoop) execute(ctx context.Context, a coordination.Action) {
	switch a := a.(type) {
	case coordination.Request:
		l.clients.start(ctx, a)
	case coordination.Reply:
		l.pending.deliver(a)
	case coordination.PeerSend:
		l.peers.send(a.Peer, a.Message)
	case coordination.PeerLinkReset:
		l.peers.reset(a.Peer)
	}
}
