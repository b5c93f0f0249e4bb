package transport

import (
	"net"
	"net/http"
	"sync/atomic"

	"github.com/gappond/gappond/internal/tuning"
)

// connections counts the open connections of users and workers. A fleet may
// have more workers than the process has sockets: beyond their share their
// connections are closed after the answer, so that each of them finds a socket
// for the moment of its report. Users' connections are closed sooner, so that
// they never take the workers' sockets.
type connections struct {
	open                   atomic.Int64
	most                   int // accepted at once, 0: no limit
	keepUsers, keepWorkers int64
}

// newConnections derives the shares from the limit of sockets, 0 for none.
func newConnections(limit int) *connections {
	share := func(part float64) int { return max(tuning.SocketsLeast, int(float64(limit)*part)) }
	if limit <= 0 {
		return &connections{}
	}
	return &connections{most: share(tuning.ServerSockets), keepUsers: int64(share(tuning.UserSockets)), keepWorkers: int64(share(tuning.KeptSockets))}
}

// track is told of every connection's state.
func (c *connections) track(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		c.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		c.open.Add(-1)
	}
}

// bound has a connection closed after its answer when more than keep are open.
func (c *connections) bound(keep int64, w http.ResponseWriter) {
	if c.most > 0 && c.open.Load() > keep {
		w.Header().Set("Connection", "close")
	}
}
