package transport

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/gappond/gappond/internal/tuning"
)

// noKeepAlive turns the probes of idle connections off. Silent ones are let go
// by time-outs of our own, and setting the probes up takes four of the five
// system calls that a new connection costs beyond its making.
const noKeepAlive = -1

// listen listens for connections without such probes.
func listen(ctx context.Context, addr string) (net.Listener, error) {
	return (&net.ListenConfig{KeepAlive: noKeepAlive}).Listen(ctx, "tcp", addr)
}

// connectionLimits bounds the open connections of users and agents. A fleet may
// have more agents than the process has sockets: beyond their share their
// connections are closed after the answer, so that each of them finds a socket
// for the moment of its heartbeat. Users' connections are closed sooner, so that
// they never take the agents' sockets.
type connectionLimits struct {
	open                                    atomic.Int64
	maxOpen                                 int // accepted at once; 0: no limit, and nothing is closed early
	userKeepAliveLimit, agentKeepAliveLimit int64
}

// newConnectionLimits derives the shares from the limit of sockets, 0 for none.
func newConnectionLimits(limit int) *connectionLimits {
	share := func(part float64) int { return max(tuning.MinConnections, int(float64(limit)*part)) }
	if limit <= 0 {
		return &connectionLimits{}
	}
	return &connectionLimits{maxOpen: share(tuning.ServerConnectionShare), userKeepAliveLimit: int64(share(tuning.UserKeepAliveShare)), agentKeepAliveLimit: int64(share(tuning.AgentKeepAliveShare))}
}

// track is told of every connection's state.
func (c *connectionLimits) track(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		c.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		c.open.Add(-1)
	}
}

// closeIfAbove has a connection closed after its answer when more than keep are open.
func (c *connectionLimits) closeIfAbove(keep int64, w http.ResponseWriter) {
	if c.maxOpen > 0 && c.open.Load() > keep {
		w.Header().Set("Connection", "close")
	}
}
