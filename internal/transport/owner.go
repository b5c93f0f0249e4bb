// Package transport connects the node's state machine to the world: HTTP
// servers and clients, the links between controllers and the owner's loop. It
// holds every goroutine, clock and socket of the program.
package transport

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination"
	"github.com/gappond/gappond/internal/tuning"
)

// Owner is the one owner of all state. It works through three queues of events
// in batches: answers to what the node asked (the renewal of its leader lease among
// them) and what peers say go before workers' reports, and these before what
// users ask.
type Owner struct {
	cfg     *config.Config
	log     *slog.Logger
	node    *coordination.Node
	answers chan coordination.Event
	urgent  chan coordination.Event
	users   chan coordination.Event
	clients *clients
	peers   *peers
	metrics *metrics
	conns   *connections
	ready   atomic.Bool

	mu      sync.Mutex
	nextID  uint64
	waiting map[uint64]chan coordination.Reply
}

// NewOwner makes an owner for the node.
func NewOwner(cfg *config.Config, log *slog.Logger, node *coordination.Node) *Owner {
	o := &Owner{
		cfg: cfg, log: log, node: node,
		answers: make(chan coordination.Event, tuning.EventQueueLength),
		urgent:  make(chan coordination.Event, max(tuning.EventQueueLength, cfg.Cluster.Resources.FDLimit)),
		users:   make(chan coordination.Event, cfg.Cluster.Resources.UserRequests()),
		metrics: newMetrics(),
		conns:   newConnections(cfg.Cluster.Resources.FDLimit),
		waiting: map[uint64]chan coordination.Reply{},
	}
	o.clients = newClients(cfg, o.answers)
	o.peers = newPeers(cfg, log, o.answers)
	return o
}

// Run serves until the context ends or a listener fails.
func (o *Owner) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failed := make(chan error, 1)
	if err := o.peers.start(ctx); err != nil {
		return err
	}
	if err := o.serve(ctx, failed); err != nil {
		return err
	}
	go o.loop(ctx)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return nil
	}
}

func (o *Owner) loop(ctx context.Context) {
	due := time.NewTimer(tuning.MinTimerInterval)
	defer due.Stop()
	var batch []coordination.Event
	for ctx.Err() == nil {
		batch = o.next(batch[:0])
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-due.C:
			case e := <-o.answers:
				batch = o.admit(batch, e)
			case e := <-o.urgent:
				batch = o.admit(batch, e)
			case e := <-o.users:
				batch = o.admit(batch, e)
			}
			batch = o.next(batch)
		}
		for _, a := range o.node.Step(time.Now(), batch) {
			o.do(a)
		}
		due.Reset(o.node.Due())
		o.ready.Store(o.node.Ready())
		o.metrics.take(o.node, int(o.conns.open.Load()), len(o.answers), len(o.urgent), len(o.users))
	}
}

// next adds what waits to the batch, each kind by its rank and up to its limit.
func (o *Owner) next(batch []coordination.Event) []coordination.Event {
	batch = o.drain(batch, o.answers, tuning.MaxUrgentEventsPerBatch)
	batch = o.drain(batch, o.urgent, tuning.MaxUrgentEventsPerBatch)
	return o.drain(batch, o.users, tuning.MaxUserEventsPerBatch)
}

// drain moves up to limit events that wait in a queue into the batch.
func (o *Owner) drain(batch []coordination.Event, queue chan coordination.Event, limit int) []coordination.Event {
	for range limit {
		select {
		case e := <-queue:
			batch = o.admit(batch, e)
		default:
			return batch
		}
	}
	return batch
}

// admit adds an event to the batch, unless whoever asked has gone: a node that has
// fallen behind must not spend its time on answers that nobody waits for.
func (o *Owner) admit(batch []coordination.Event, e coordination.Event) []coordination.Event {
	if id := asker(e); id != 0 {
		o.mu.Lock()
		_, waits := o.waiting[id]
		o.mu.Unlock()
		if !waits {
			return batch
		}
	}
	return append(batch, e)
}

// asker is the id of the request that an event came with, 0 if it came with none.
func asker(e coordination.Event) uint64 {
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

func (o *Owner) do(a coordination.Action) {
	switch a := a.(type) {
	case coordination.Request:
		go o.clients.call(a)
	case coordination.Reply:
		o.mu.Lock()
		ch := o.waiting[a.ID]
		delete(o.waiting, a.ID)
		o.mu.Unlock()
		if ch != nil {
			ch <- a
		}
	case coordination.PeerSend:
		o.peers.send(a.Peer, a.Message)
	case coordination.PeerReset:
		o.peers.reset(a.Peer)
	}
}

// shed is the answer when there is too much to do.
func (o *Owner) shed() coordination.Reply {
	o.metrics.sheds.Inc()
	return coordination.Reply{Status: 503, RetryAfter: time.Second}
}

// ask hands a request to the owner and waits for its reply. Status 0: none
// came in time.
func (o *Owner) ask(ctx context.Context, queue chan coordination.Event, limit time.Duration, event func(id uint64) coordination.Event) coordination.Reply {
	ch := make(chan coordination.Reply, 1)
	o.mu.Lock()
	o.nextID++
	id := o.nextID
	o.waiting[id] = ch
	o.mu.Unlock()
	forget := func() {
		o.mu.Lock()
		delete(o.waiting, id)
		o.mu.Unlock()
	}
	select {
	case queue <- event(id):
	default:
		// Full: answer at once that there is too much to do.
		forget()
		return o.shed()
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case r := <-ch:
		return r
	case <-timer.C:
	case <-ctx.Done():
	}
	forget()
	return coordination.Reply{Status: 504}
}
