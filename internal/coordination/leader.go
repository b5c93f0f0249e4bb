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
	proxying   bool // the peers answer a part of the workers
	plan       bool // something changed that placement may depend on
	planAt     time.Time
	watchAt    time.Time // when the machines are looked over again
}

// runSchedulingCycle has the scheduler go over the queue; what waits then is the demand
// for machines.
func (l *leader) runSchedulingCycle() { l.autoscaler.Demand = l.scheduler.RunCycle() }

// TaskPlaced implements scheduler.Environment.
func (l *leader) TaskPlaced(attempt *cluster.Attempt) {
	if attempt.Key.Number > 1 {
		l.n.metrics.Repairs++
	}
	l.committer.MarkDirty(attempt.Job, attempt.Job.RecordOf(attempt.Key.Index))
}

// Preempt implements scheduler.Environment.
func (l *leader) Preempt(victim *cluster.Attempt) {
	l.n.metrics.Preemptions++
	l.lifecycle.Preempt(victim)
}

// Stop implements scheduler.Environment.
func (l *leader) Stop(attempt *cluster.Attempt, graceS float64) { l.lifecycle.Stop(attempt, graceS) }

// Drain implements autoscaler.Environment.
func (l *leader) Drain(machine *cluster.Machine) { l.lifecycle.Drain(machine) }

// Unreadable implements lifecycle.Environment and agents.Environment.
func (l *leader) Unreadable(job protocol.JobID) bool { return l.loader.Quarantined(job) }

// RecordChanged implements lifecycle.Environment.
func (l *leader) RecordChanged(job *cluster.Job, record int) { l.committer.MarkDirty(job, record) }

// LogOnce implements agents.HeartbeatEnvironment.
func (l *leader) LogOnce(message, key string, attributes ...any) {
	if l.logged[key] {
		return
	}
	if len(l.logged) >= tuning.MaxRememberedLogKeys {
		clear(l.logged)
	}
	l.logged[key] = true
	l.n.log.Error(message, attributes...)
}

// cancelFromPeer takes a peer's confirmation that a job's cancellation is in the
// records. What is written of the job before the watch shows that is refused, and
// read again.
func (l *leader) cancelFromPeer(id protocol.JobID) {
	if job := l.cluster.Jobs[id]; job != nil {
		l.CancelJob(job)
	}
}

// CancelJob implements loader.Environment.
func (l *leader) CancelJob(job *cluster.Job) {
	if job.Cancel() {
		l.plan = true
		l.lifecycle.CheckEnded(job)
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

// RecordMachine implements autoscaler.Environment.
func (l *leader) RecordMachine(machine *cluster.Machine) { l.committer.Machines.Record(machine) }

// AwaitsRecordSplit implements scheduler.Environment.
func (l *leader) AwaitsRecordSplit(job *cluster.Job) bool { return l.committer.AwaitsRecordSplit(job) }

// JobLoaded implements loader.Environment.
func (l *leader) JobLoaded(spec *protocol.Job) { l.autoscaler.JobSubmitted(spec) }

// CheckEnded implements loader.Environment.
func (l *leader) CheckEnded(job *cluster.Job) { l.lifecycle.CheckEnded(job) }
