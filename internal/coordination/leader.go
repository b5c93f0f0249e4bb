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
// from the records at every failover and dropped when the node steps down.
type leader struct {
	n         *Node
	cluster   *cluster.State
	scheduler *scheduler.Scheduler
	logged    map[string]bool // keys of bad input that was logged
	recovery  *reconcile.Phase
	lifecycle *lifecycle.Manager
	agents    *agents.Manager
	restored  *restore.Monitor

	committer  *commit.Committer
	loader     *loader.Loader
	autoscaler *autoscaler.Autoscaler
	proxying   bool // the peers answer a part of the agents
	plan       bool // something changed that placement may depend on
	planAt     time.Time
	watchAt    time.Time // when the machines are checked again
}

// runSchedulingCycle has the scheduler go over the queue; what waits then is the demand
// for machines.
func (l *leader) runSchedulingCycle() { l.autoscaler.Demand = l.scheduler.RunCycle() }

// cancelFromPeer takes a peer's confirmation that a job's cancellation is in the
// records. What is written of the job before the watch shows that is refused, and
// read again.
func (l *leader) cancelFromPeer(id protocol.JobID) {
	if job := l.cluster.Jobs[id]; job != nil {
		l.cancelJob(job)
	}
}

func (l *leader) tick() {
	if !l.n.now.Before(l.watchAt) {
		l.watchAt = l.n.now.Add(tuning.MachineSweepInterval)
		l.agents.Liveness.Tick()
		if l.n.lead != l {
			return
		}
		l.autoscaler.Tick()
		l.tickRecovery()
		l.restored.Tick()
		if l.n.lead != l {
			return
		}
	}
	if l.plan && !l.n.now.Before(l.planAt) || l.n.now.Sub(l.planAt) > tuning.MaxSchedulingInterval {
		l.plan = false
		l.runSchedulingCycle()
		l.planAt = l.n.now.Add(l.scheduler.CyclePause())
	}
	l.committer.SplitOutgrown(l.scheduler)
	l.committer.Commit()
	l.agents.Delivery.SendPending()
}

// logOnce logs bad input at its first sight.
func (l *leader) logOnce(message, key string, attributes ...any) {
	if l.logged[key] {
		return
	}
	if len(l.logged) >= tuning.MaxRememberedLogKeys {
		clear(l.logged)
	}
	l.logged[key] = true
	l.n.log.Error(message, attributes...)
}

// cancelJob marks a job as cancelled, and stops what runs of it.
func (l *leader) cancelJob(job *cluster.Job) {
	if job.Cancel() {
		l.plan = true
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
