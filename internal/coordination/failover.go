package coordination

import (
	"time"

	"github.com/gappond/gappond/internal/coordination/agents"
	"github.com/gappond/gappond/internal/coordination/autoscaler"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/commit"
	"github.com/gappond/gappond/internal/coordination/lifecycle"
	"github.com/gappond/gappond/internal/coordination/loader"
	"github.com/gappond/gappond/internal/coordination/reconcile"
	"github.com/gappond/gappond/internal/coordination/restore"
	"github.com/gappond/gappond/internal/coordination/scheduler"
	"github.com/gappond/gappond/internal/storage"
)

// startLeading begins to lead with what the records say.
func (n *Node) startLeading() {
	l := &leader{n: n, cluster: cluster.NewState(n.cfg, n.machineTypes.byName, func() time.Time { return n.now }), logged: map[string]bool{}, recovery: reconcile.NewPhase(), plan: true}
	shared := leaderEnvironment{l}
	l.lifecycle = lifecycle.New(l.cluster, l.recovery, lifecycleEnvironment{shared}, n.log)
	l.scheduler = scheduler.New(l.cluster, schedulerEnvironment{shared}, n.log)
	l.autoscaler = autoscaler.New(l.cluster, l.scheduler, cloudClient{l}, autoscalerEnvironment{shared}, n.log)
	l.agents = agents.New(agents.Dependencies{
		State: l.cluster, Lifecycle: l.lifecycle, Recovery: l.recovery, Scheduler: l.scheduler, Fleet: l.autoscaler,
		Client: agentClient{l}, Environment: agentsEnvironment{shared}, Log: n.log, Term: n.election.Term(),
	})
	l.committer = commit.New(commit.Dependencies{
		State: l.cluster, Store: leaderStore{l}, Limits: n.storeLimits, Environment: commitEnvironment{shared}, Outcomes: commitOutcomes{l}, Log: n.log,
		Term: n.election.Term(),
	})
	l.restored = restore.NewMonitor(n.election.Term(), l.cluster, leaderStore{l}, restoreEnvironment{shared}, n.log)
	l.loader = loader.New(l.cluster, l.committer, loaderEnvironment{shared}, n.log)
	n.lead = l
	n.peers.HeartbeatSoon()     // the peers learn how many agents it keeps
	n.machineTypes.refreshNow() // today's prices, and a record of the types if there is none
	l.loader.LoadAll(&n.mirror.Mirror)
	if marker, ok := n.mirror.Get(storage.RestoredKey); ok {
		l.restored.LoadMarker(marker)
	}
	l.beginRecovery()
	// Jobs and machines come out of the mirror in no order; what follows must
	// not depend on that.
	for _, job := range l.scheduler.Queue() {
		l.lifecycle.CheckEnded(job)
	}
	n.log.Info("leading", "term", n.election.Term(), "jobs", len(l.cluster.Jobs), "machines", len(l.cluster.Machines))
}
