package simulation

import (
	"time"

	"github.com/gappond/gappond/internal/coordination"
	"github.com/gappond/gappond/internal/tuning"
)

// What a slow controller's work costs of a core: generous, so that the smallest
// shares are used up in bursts.
const (
	stepCost    = 150 * time.Microsecond // of a step, whatever it takes
	eventCost   = 100 * time.Microsecond // of an answer or a forwarded report
	requestCost = 250 * time.Microsecond // of a worker's or user's request
	actionCost  = 100 * time.Microsecond // of a request or answer that leaves
)

// backlog is what waits for a slow node, by rank: answers and peers' messages,
// workers' reports, users.
type backlog struct {
	queues    [3][]coordination.Event
	maxQueued [3]int // that waited at once
}

// add has events wait, each by its rank.
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

// nextBatch is a batch as the owner makes it, and what it costs.
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

// processBatch has a slow node take a batch, unless it is still busy with the last one.
// What it does leaves when its share of a core has paid for it.
func (c *controller) processBatch() {
	if c.busy || !c.alive {
		return
	}
	c.busy = true
	life := c.life
	batch, cost := c.backlog.nextBatch()
	actions := c.node.Step(c.w.Now, batch)
	for _, a := range actions {
		if _, send := a.(coordination.PeerSend); !send { // many in one write
			cost += actionCost
		}
	}
	c.w.after(time.Duration(float64(cost)/c.w.shape.Resources.Cores), func() {
		if !c.alive || c.life != life {
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
