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

// leader is the state that only the leading controller has. It is rebuilt from the records at
// every failover and dropped when the node steps down. The packages below this one do the work.
// The methods here coordinate several of them. The environment types give each of them access to
// the others and to the node.
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

	schedulingRequested bool            // something changed that may affect placement
	nextCycleAt         time.Time       // a requested scheduling cycle does not start earlier
	nextSweepAt         time.Time       // next check of machines, recovery and store restore
	usingProxies        bool            // the peers handle a part of the agents for the leader
	loggedKeys          map[string]bool // keys of invalid input that has been logged
}

// newLeader returns a leader that has loaded no records yet. Each part gets the other parts that
// it calls, and access to everything else through its environment.
func newLeader(n *Node) *leader {
	l := &leader{
		n: n, loggedKeys: map[string]bool{}, recovery: reconcile.NewRecoveryPhase(), schedulingRequested: true,
		cluster: cluster.NewState(n.cfg, n.machineTypes.byName, func() time.Time { return n.now }),
	}
	shared, store, term := leaderEnvironment{l}, leaderStore{l}, n.election.Term()
	l.lifecycle = lifecycle.New(l.cluster, l.recovery, lifecycleEnvironment{shared}, n.log, &n.metrics.Lifecycle)
	l.scheduler = scheduler.New(l.cluster, schedulerEnvironment{shared}, n.log)
	l.autoscaler = autoscaler.New(l.cluster, l.scheduler, cloudClient{l}, autoscalerEnvironment{shared}, n.log)
	l.agents = agents.New(agents.Dependencies{
		State: l.cluster, Lifecycle: l.lifecycle, Recovery: l.recovery, Scheduler: l.scheduler, Fleet: l.autoscaler,
		Client: agentClient{l}, Environment: agentsEnvironment{shared}, Log: n.log, Counters: &n.metrics.Agents, Term: term,
	})
	l.committer = commit.New(commit.Dependencies{
		State: l.cluster, Store: store, Limits: n.storeLimits, Environment: commitEnvironment{shared},
		Outcomes: commitOutcomes{l}, Log: n.log, Term: term,
	})
	l.restoreMonitor = restore.NewMonitor(term, l.cluster, store, restoreEnvironment{shared}, n.log)
	l.loader = loader.New(l.cluster, l.committer, loaderEnvironment{shared}, n.log)
	return l
}

// runSchedulingCycle runs a scheduling cycle. The jobs that still wait afterwards are the
// autoscaler's demand for machines.
func (l *leader) runSchedulingCycle() { l.autoscaler.Demand = l.scheduler.RunCycle() }

// cancelByID cancels a job whose cancellation is in the records, as this node or a peer has
// confirmed. Until the leader's watch shows the changed record, the conditions of transactions that
// write the job fail, and the record is read again.
func (l *leader) cancelByID(id protocol.JobID) {
	if job := l.cluster.Jobs[id]; job != nil {
		l.cancelJob(job)
	}
}

// tick does what is due: it checks the machines, runs a scheduling cycle, commits records and sends
// commands.
func (l *leader) tick() {
	if !l.n.now.Before(l.nextSweepAt) {
		l.nextSweepAt = l.n.now.Add(tuning.MachineSweepInterval)
		l.agents.Liveness.Tick()
		if l.n.ownLeader != l {
			return
		}
		l.lifecycle.ReviewMachines()
		l.lifecycle.ReviewJobs()
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

// logOnce logs invalid input when its key occurs for the first time.
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

// cancelJob marks a job as cancelled and stops its attempts.
func (l *leader) cancelJob(job *cluster.Job) {
	if job.Cancel() {
		l.schedulingRequested = true
		l.lifecycle.WithdrawFailures(job)
		l.lifecycle.CheckEnded(job)
	}
}

// dropUncommitted removes a job's uncommitted attempts, so that the scheduler places their tasks
// again.
func (l *leader) dropUncommitted(job *cluster.Job) {
	for _, attempt := range job.SortedAttempts() {
		if !attempt.Committed {
			l.lifecycle.RemoveGone(attempt, lifecycle.StartNotSent)
		}
	}
}
