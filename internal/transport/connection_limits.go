package transport

import (
	"context"
	"net"
	"net/http"

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
	admission                               *admission
	userKeepAliveLimit, agentKeepAliveLimit int
}

// newConnectionLimits derives the limits from the number of sockets that the process may open; 0
// means that there is no limit, and no connection is closed early.
func newConnectionLimits(socketLimit int) *connectionLimits {
	if socketLimit <= 0 {
		return &connectionLimits{admission: newAdmission(0)}
	}
	share := func(fraction float64) int { return max(tuning.MinConnections, int(float64(socketLimit)*fraction)) }
	return &connectionLimits{
		admission:          newAdmission(share(tuning.ServerConnectionShare)),
		userKeepAliveLimit: share(tuning.UserKeepAliveShare), agentKeepAliveLimit: share(tuning.AgentKeepAliveShare),
	}
}

// track follows the state of a connection. The HTTP server calls it when the state changes.
func (c *connectionLimits) track(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateActive:
		c.admission.markPending(conn)
	case http.StateIdle:
		c.admission.markComplete(conn)
	case http.StateClosed, http.StateHijacked:
		c.admission.release(conn)
	}
}

// closeIfAbove makes the server close the connection after this response if more than limit
// connections are open.
func (c *connectionLimits) closeIfAbove(limit int, w http.ResponseWriter) {
	if c.admission.limit > 0 && c.admission.count() > limit {
		w.Header().Set("Connection", "close")
	}
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// withConnection adds a connection to the context of its requests.
func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// requestComplete notes that a request has been read completely.
func (c *connectionLimits) requestComplete(r *http.Request) {
	if conn, known := r.Context().Value(connectionKey{}).(net.Conn); known {
		c.admission.markComplete(conn)
	}
}
