package transport

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/gappond/gappond/internal/tuning"
)

// noKeepAlive disables TCP keep-alive probes. Our own time-outs already close silent connections,
// and enabling the probes takes four of the five system calls that a new connection costs in
// addition to opening it.
const noKeepAlive = -1

// listen opens a TCP listener whose connections have no keep-alive probes.
func listen(ctx context.Context, addr string) (net.Listener, error) {
	return (&net.ListenConfig{KeepAlive: noKeepAlive}).Listen(ctx, "tcp", addr)
}

// connectionLimits bounds the open connections of users and agents. A fleet may have more agents
// than the process has sockets. When more than agentKeepAliveLimit connections are open, an agent's
// connection is closed after the response, so that every agent finds a socket for the moment of its
// heartbeat. The limit for users is lower, so that they never take the agents' sockets.
type connectionLimits struct {
	open                                    atomic.Int64
	maxOpen                                 int // 0: no limit, and no connection is closed early
	userKeepAliveLimit, agentKeepAliveLimit int64
}

// newConnectionLimits derives the limits from the number of sockets that the process may open; 0
// means no limit.
func newConnectionLimits(socketLimit int) *connectionLimits {
	share := func(fraction float64) int { return max(tuning.MinConnections, int(float64(socketLimit)*fraction)) }
	if socketLimit <= 0 {
		return &connectionLimits{}
	}
	return &connectionLimits{maxOpen: share(tuning.ServerConnectionShare), userKeepAliveLimit: int64(share(tuning.UserKeepAliveShare)), agentKeepAliveLimit: int64(share(tuning.AgentKeepAliveShare))}
}

// track counts the open connections. The HTTP server calls it when a connection changes state.
func (c *connectionLimits) track(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		c.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		c.open.Add(-1)
	}
}

// closeIfAbove makes the server close the connection after this response if more than limit
// connections are open.
func (c *connectionLimits) closeIfAbove(limit int64, w http.ResponseWriter) {
	if c.maxOpen > 0 && c.open.Load() > limit {
		w.Header().Set("Connection", "close")
	}
}
