package coordination

import (
	"time"

	"github.com/gappond/gappond/internal/coordination/agents"
	"github.com/gappond/gappond/internal/coordination/lifecycle"
	"github.com/gappond/gappond/internal/coordination/reconcile"
	"github.com/gappond/gappond/internal/protocol"
)

// Metrics holds the node's counters and gauges. TakeMetrics returns them after a step.
type Metrics struct {
	Term                                                                 protocol.Term
	Commits, CommitConflicts, ShedRequests, Repairs, Preemptions, Starts uint64
	OvertakenAnswers, UnconfirmedAnswers                                 uint64
	Machines, Waiting                                                    int
	CommitSeconds, StartWaitSeconds                                      []float64 // observations since the last TakeMetrics
	Now                                                                  time.Time
	Recovery                                                             reconcile.Summary // of this leader's failover
	Agents                                                               agents.Counters
	Lifecycle                                                            lifecycle.Counters
}

// TakeMetrics returns the metrics and clears the observations.
func (n *Node) TakeMetrics() Metrics {
	m := n.metrics
	m.ShedRequests, m.OvertakenAnswers, m.UnconfirmedAnswers = n.api.Shed(), n.api.Overtaken(), n.api.Unconfirmed()
	n.metrics.CommitSeconds, n.metrics.StartWaitSeconds = nil, nil
	if n.ownLeader != nil {
		m.Machines, m.Waiting = len(n.ownLeader.cluster.Machines), n.ownLeader.scheduler.Waiting()
		m.Term = n.election.Term()
		m.Now, m.Recovery = n.now, n.ownLeader.recovery.Summary()
	}
	return m
}
