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
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// leader is everything that only the leading controller knows. It is rebuilt
// from the records at every failover and dropped when the node steps down. Its
// parts do the work; here stands what concerns several of them. What they need
// of each other and of the node is in the environments.
type leader struct {
	n       *Node
	cluster *cluster.State

	loader         *loader.Loader
	committer      *commit.Committer
	scheduler      *scheduler.Scheduler
	autoscaler     *autoscaler.Autoscaler
	lifecycle      *lifecycle.Manager
	agents         *agents.Manager
	recovery       *reconcile.RecoveryPhase
	restoreMonitor *restore.Monitor

	schedulingRequested bool            // something changed that placement may depend on
	nextCycleAt         time.Time       // before it no scheduling cycle begins that is only requested
	nextSweepAt         time.Time       // when the machines are checked again
	usingProxies        bool            // the peers answer a part of the agents
	loggedKeys          map[string]bool // keys of bad input that was logged
}

// newLeader composes a leader without any record: every part gets the others that it calls,
// and what else it needs by its environment.
func newLeader(n *Node) *leader {
	l := &leader{
		n: n, loggedKeys: map[string]bool{}, recovery: reconcile.NewRecoveryPhase(), schedulingRequested: true,
		cluster: cluster.NewState(n.cfg, n.machineTypes.byName, func() time.Time { return n.now }),
	}
	shared, store, term := leaderEnvironment{l}, leaderStore{l}, n.election.Term()
	l.lifecycle = lifecycle.New(l.cluster, l.recovery, lifecycleEnvironment{shared}, n.log)
	l.scheduler = scheduler.New(l.cluster, schedulerEnvironment{shared}, n.log)
	l.autoscaler = autoscaler.New(l.cluster, l.scheduler, cloudClient{l}, autoscalerEnvironment{shared}, n.log)
	l.agents = agents.New(agents.Dependencies{
		State: l.cluster, Lifecycle: l.lifecycle, Recovery: l.recovery, Scheduler: l.scheduler, Fleet: l.autoscaler,
		Client: agentClient{l}, Environment: agentsEnvironment{shared}, Log: n.log, Term: term,
	})
	l.committer = commit.New(commit.Dependencies{
		State: l.cluster, Store: store, Limits: n.storeLimits, Environment: commitEnvironment{shared},
		Outcomes: commitOutcomes{l}, Log: n.log, Term: term,
	})
	l.restoreMonitor = restore.NewMonitor(term, l.cluster, store, restoreEnvironment{shared}, n.log)
	l.loader = loader.New(l.cluster, l.committer, loaderEnvironment{shared}, n.log)
	return l
}

// runSchedulingCycle has the scheduler go over the queue; what waits then is the demand
// for machines.
func (l *leader) runSchedulingCycle() { l.autoscaler.Demand = l.scheduler.RunCycle() }

// cancelByID takes a peer's confirmation that a job's cancellation is in the
// records. What is written of the job before the watch shows that is refused, and
// read again.
func (l *leader) cancelByID(id protocol.JobID) {
	if job := l.cluster.Jobs[id]; job != nil {
		l.cancelJob(job)
	}
}

// tick does what is due: the machines are checked, a scheduling cycle runs, records are
// written, commands leave.
func (l *leader) tick() {
	if !l.n.now.Before(l.nextSweepAt) {
		l.nextSweepAt = l.n.now.Add(tuning.MachineSweepInterval)
		l.agents.Liveness.Tick()
		if l.n.ownLeader != l {
			return
		}
		l.autoscaler.Tick()
		l.tickRecovery()
		l.restoreMonitor.Tick()
		if l.n.ownLeader != l {
			return
		}
	}
	if l.schedulingRequested && !l.n.now.Before(l.nextCycleAt) || l.n.now.Sub(l.nextCycleAt) > tuning.MaxSchedulingInterval {
		l.schedulingRequested = false
		l.runSchedulingCycle()
		l.nextCycleAt = l.n.now.Add(l.scheduler.CyclePause())
	}
	l.committer.MarkOversizedRecords(l.scheduler)
	l.committer.Commit()
	l.agents.Delivery.SendPending()
}

// logOnce logs bad input at its first sight.
func (l *leader) logOnce(message, key string, attributes ...any) {
	if l.loggedKeys[key] {
		return
	}
	if len(l.loggedKeys) >= tuning.MaxRememberedLogKeys {
		clear(l.loggedKeys)
	}
	l.loggedKeys[key] = true
	l.n.log.Error(message, attributes...)
}

// cancelJob marks a job as cancelled, and stops what runs of it.
func (l *leader) cancelJob(job *cluster.Job) {
	if job.Cancel() {
		l.schedulingRequested = true
		l.lifecycle.CheckEnded(job)
	}
}

// dropUncommitted takes out the places of a job that are not committed: they are planned again.
func (l *leader) dropUncommitted(job *cluster.Job) {
	for _, attempt := range job.SortedAttempts() {
		if !attempt.Committed {
			l.lifecycle.RemoveGone(attempt)
		}
	}
}
