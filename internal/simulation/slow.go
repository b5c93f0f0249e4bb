package simulation

import (
	"time"

	"github.com/gappond/gappond/internal/coordination"
	"github.com/gappond/gappond/internal/tuning"
)

// What a slow controller's work costs of a core: generous, so that the smallest
// shares are used up in bursts.
const (
	wakeCost    = 150 * time.Microsecond // of a step, whatever it takes
	eventCost   = 100 * time.Microsecond // of an answer or a forwarded report
	requestCost = 250 * time.Microsecond // of a worker's or user's request
	actionCost  = 100 * time.Microsecond // of a request or answer that leaves
)

// backlog is what waits for a slow node, by rank: answers and peers' messages,
// workers' reports, users.
type backlog struct {
	ranks [3][]coordination.Event
	most  [3]int // that waited at once
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
		b.ranks[rank] = append(b.ranks[rank], e)
		b.most[rank] = max(b.most[rank], len(b.ranks[rank]))
	}
}

// take is a batch as the owner makes it, and what it costs.
func (b *backlog) take() (batch []coordination.Event, cost time.Duration) {
	cost = wakeCost
	for rank, limit := range [3]int{tuning.MaxUrgentEventsPerBatch, tuning.MaxUrgentEventsPerBatch, tuning.MaxUserEventsPerBatch} {
		n := min(limit, len(b.ranks[rank]))
		batch = append(batch, b.ranks[rank][:n]...)
		b.ranks[rank] = b.ranks[rank][n:]
		if rank == 0 {
			cost += time.Duration(n) * eventCost
		} else {
			cost += time.Duration(n) * requestCost
		}
	}
	return batch, cost
}

// takeBatch has a slow node take a batch, unless it is still busy with the last one.
// What it does leaves when its share of a core has paid for it.
func (c *controller) takeBatch() {
	if c.working || !c.alive {
		return
	}
	c.working = true
	life := c.life
	batch, cost := c.backlog.take()
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
		c.carryOut(actions)
		c.working = false
		if waiting := &c.backlog.ranks; len(waiting[0])+len(waiting[1])+len(waiting[2]) > 0 {
			c.takeBatch()
			return
		}
		c.setTimer(c.node.Due())
	})
}
