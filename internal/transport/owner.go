// Package transport connects the node's state machine to the world: HTTP
// servers and clients, the links between controllers and the event loop that owns the
// state. It holds every goroutine, clock and socket of the program.
//
// Owner.Run starts all goroutines and returns when they have ended: the event loop, the
// HTTP server, the listener for peers and the links to them, and, while requests are
// under way, one for each. All end with Run's context, which closes their sockets. Only
// the goroutines of connections that users and agents have opened belong to net/http,
// which ends them when the server closes.
package transport

import (
	"context"
	"log/slog"
	"sync"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination"
)

// Controller runs one controller: the event loop, which owns the state machine, and what
// brings it events and carries out its actions.
type Controller struct {
	loop    *eventLoop
	server  *httpServer
	clients *clients
	peers   *peerLinks
}

// NewController makes an owner for the node.
func NewController(cfg *config.Config, log *slog.Logger, node *coordination.Node) *Controller {
	queues := newEventQueues(cfg)
	pending := newPendingRequests()
	metrics := newMetrics()
	connections := newConnectionLimits(cfg.Cluster.Process.FDLimit)
	o := &Controller{
		clients: newClients(cfg, queues.responses),
		peers:   newPeerLinks(cfg, log, queues.responses),
	}
	o.loop = &eventLoop{node: node, queues: queues, pending: pending, clients: o.clients, peers: o.peers, connections: connections, metrics: metrics}
	o.server = &httpServer{address: cfg.Listen, log: log, queues: queues, pending: pending, connections: connections, metrics: metrics, ready: o.loop.ready.Load}
	return o
}

// Run serves until the context ends, which is no error, or a listener fails.
func (o *Controller) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer o.clients.close() // after the loop, which makes calls
	defer running.Wait()
	defer cancel()
	if err := o.peers.start(ctx, &running); err != nil {
		return err
	}
	listener, err := o.server.listen(ctx)
	if err != nil {
		return err
	}
	failed := make(chan error, 1)
	running.Go(func() { failed <- o.server.serve(ctx, listener) })
	running.Go(func() { o.loop.run(ctx) })
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return nil
	}
}
