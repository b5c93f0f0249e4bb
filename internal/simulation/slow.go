package simulation

import (
	"time"

	"github.com/gappond/gappond/internal/coordination"
	"github.com/gappond/gappond/internal/tuning"
)

// The CPU time that a slow controller needs for its work. The values are generous, so that
// bursts use up the smallest shares of a core.
const (
	stepCost    = 150 * time.Microsecond // of a step, in addition to its events
	eventCost   = 100 * time.Microsecond // of a response or a peer's message
	requestCost = 250 * time.Microsecond // of an agent's or user's request
	actionCost  = 100 * time.Microsecond // of a request or reply that is sent
)

// backlog holds the events that wait for a slow controller, in three queues by priority: responses
// and peers' messages first, then agents' heartbeats, then users' requests.
type backlog struct {
	queues    [3][]coordination.Event
	maxQueued [3]int // the longest that each queue has been
}

// add appends events to the queues by their priority.
func (b *backlog) add(events []coordination.Event) {
	for _, e := range events {
		rank := 0
		switch e.(type) {
		case coordination.AgentHeartbeat:
			rank = 1
		case coordination.Submit, coordination.StatusQuery, coordination.Cancel:
			rank = 2
		}
		b.queues[rank] = append(b.queues[rank], e)
		b.maxQueued[rank] = max(b.maxQueued[rank], len(b.queues[rank]))
	}
}

// nextBatch removes a batch from the queues, composed as in the event loop of a real controller,
// and returns it with its cost in CPU time.
func (b *backlog) nextBatch() (batch []coordination.Event, cost time.Duration) {
	cost = stepCost
	for rank, limit := range [3]int{tuning.MaxUrgentEventsPerBatch, tuning.MaxUrgentEventsPerBatch, tuning.MaxUserEventsPerBatch} {
		n := min(limit, len(b.queues[rank]))
		batch = append(batch, b.queues[rank][:n]...)
		b.queues[rank] = b.queues[rank][n:]
		if rank == 0 {
			cost += time.Duration(n) * eventCost
		} else {
			cost += time.Duration(n) * requestCost
		}
	}
	return batch, cost
}

// processBatch makes a slow controller process a batch, unless it is still busy with the last one.
// Its actions are performed when its share of a core has provided the CPU time.
func (c *controller) processBatch() {
	if c.busy || !c.alive {
		return
	}
	c.busy = true
	generation := c.generation
	batch, cost := c.backlog.nextBatch()
	actions := c.node.Step(c.w.Now, batch)
	for _, a := range actions {
		if _, send := a.(coordination.PeerSend); !send { // many are sent in one write
			cost += actionCost
		}
	}
	c.w.after(time.Duration(float64(cost)/c.w.shape.Resources.Cores), func() {
		if !c.alive || c.generation != generation {
			return
		}
		c.perform(actions)
		c.busy = false
		if waiting := &c.backlog.queues; len(waiting[0])+len(waiting[1])+len(waiting[2]) > 0 {
			c.processBatch()
			return
		}
		c.setTimer(c.node.Due())
	})
}
