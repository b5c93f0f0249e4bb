package transport

import (
	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination"
	"github.com/gappond/gappond/internal/tuning"
)

// eventQueues hold the events that wait for the event loop. What the node asked for and
// what peers say (the renewal of its leader lease among them) go before agents'
// heartbeats, and these before what users ask.
type eventQueues struct {
	responses  chan coordination.Event // from the store, the cloud, agents and peers
	heartbeats chan coordination.Event
	users      chan coordination.Event
}

func newEventQueues(cfg *config.Config) *eventQueues {
	return &eventQueues{
		responses:  make(chan coordination.Event, tuning.EventQueueLength),
		heartbeats: make(chan coordination.Event, max(tuning.EventQueueLength, cfg.Cluster.Process.FDLimit)),
		users:      make(chan coordination.Event, cfg.Cluster.Process.MaxUserRequests()),
	}
}

// depth is how many events wait.
func (q *eventQueues) depth() int { return len(q.responses) + len(q.heartbeats) + len(q.users) }
