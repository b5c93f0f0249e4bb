// Package transport connects the node's state machine to the network. It contains the HTTP server
// and clients, the links between controllers, and the event loop that owns the state machine. All
// goroutines, clocks and sockets of the program are in this package.
//
// Controller.Run starts all goroutines and returns when they have ended: those of the event loop,
// the HTTP server, the listener for peers and the links to peers, and one for each outgoing request
// in progress. All of them end with Run's context, whose end also closes their sockets. Only the
// goroutines of connections that users and agents have opened belong to net/http, which ends them
// when the server closes.
package transport

import (
	"context"
	"log/slog"
	"sync"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination"
)

// Controller is one controller of the cluster. It consists of the event loop, which owns the state
// machine, and of the parts that deliver events to the loop and carry out its actions.
type Controller struct {
	loop    *eventLoop
	server  *httpServer
	clients *clients
	peers   *peerLinks
}

// NewController returns a controller that runs the node.
func NewController(cfg *config.Config, log *slog.Logger, node *coordination.Node) *Controller {
	queues := newEventQueues(cfg)
	pending := newPendingRequests()
	metrics := newMetrics()
	connections := newConnectionLimits(cfg.Cluster.Process.FDLimit)
	c := &Controller{
		clients: newClients(cfg, queues.responses),
		peers:   newPeerLinks(cfg, log, queues.responses),
	}
	c.loop = &eventLoop{node: node, queues: queues, pending: pending, clients: c.clients, peers: c.peers, connections: connections, metrics: metrics}
	c.server = &httpServer{address: cfg.Listen, log: log, queues: queues, pending: pending, connections: connections, metrics: metrics, ready: c.loop.ready.Load, refusals: limitedLog()}
	return c
}

// Run serves until the context ends or a listener fails. The end of the context is not an error.
func (c *Controller) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer c.clients.close() // after the event loop, which starts requests, has ended
	defer running.Wait()
	defer cancel()
	if err := c.peers.start(ctx, &running); err != nil {
		return err
	}
	listener, err := c.server.listen(ctx)
	if err != nil {
		return err
	}
	failed := make(chan error, 1)
	running.Go(func() { failed <- c.server.serve(ctx, listener) })
	running.Go(func() { c.loop.run(ctx) })
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return nil
	}
}
