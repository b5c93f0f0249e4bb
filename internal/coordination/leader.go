package coordination

import (
	"strings"
	"time"

	"github.com/gappond/gappond/internal/coordination/agents"
	"github.com/gappond/gappond/internal/coordination/autoscaler"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/lifecycle"
	"github.com/gappond/gappond/internal/coordination/reconcile"
	"github.com/gappond/gappond/internal/coordination/scheduler"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// leader is everything that only the leading controller knows. It is rebuilt
// from the records at every takeover and dropped when the node steps down.
type leader struct {
	n         *Node
	cluster   *cluster.State
	scheduler *scheduler.Scheduler
	// jobs with a record that cannot be read, which are left alone
	unreadable map[protocol.JobID]bool
	logged     map[string]bool // keys of bad input that was logged
	recovery   *reconcile.Phase
	lifecycle  *lifecycle.Manager
	agents     *agents.Manager
	restored   restoredStore

	dirty          []*cluster.Job           // jobs with unwritten changes, in the order they came
	machineRecords []*cluster.MachineRecord // the machines' machine records
	cleanup        []string                 // keys to delete when there is time
	inFlight       *commit
	commitAt       time.Time
	proxying       bool // the peers answer a part of the workers
	plan           bool // something changed that placement may depend on
	planAt         time.Time
	watchAt        time.Time // when the machines are looked over again
	autoscaler     *autoscaler.Autoscaler
	splitSearched  bool // all records that had outgrown the limits were found
}

// runSchedulingCycle has the scheduler go over the queue; what waits then is the demand
// for machines.
func (l *leader) runSchedulingCycle() { l.autoscaler.Demand = l.scheduler.RunCycle() }

// TaskPlaced implements scheduler.Environment.
func (l *leader) TaskPlaced(attempt *cluster.Attempt) {
	if attempt.Key.Number > 1 {
		l.n.metrics.Repairs++
	}
	l.RecordChanged(attempt.Job, attempt.Job.RecordOf(attempt.Key.Index))
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
func (l *leader) Unreadable(job protocol.JobID) bool { return l.unreadable[job] }

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

// RecordChanged marks one of a job's records as to be written.
func (l *leader) RecordChanged(job *cluster.Job, record int) {
	if job.Finished {
		return
	}
	job.Write.Dirty[record] = true
	if !job.Write.Queued {
		job.Write.Queued, job.Write.DirtySince = true, l.n.now
		l.dirty = append(l.dirty, job)
	}
}

// changed takes a change of a record that the watch saw.
func (l *leader) changed(ev *protocol.WatchEvent) {
	if tx := l.inFlight; tx != nil && ev.Set != "" && ev.Set == tx.probe && storage.Writer(ev.Value) == tx.writer {
		// The transaction under way is done, though its answer may be lost.
		l.committed(tx, ev.Revision)
		return
	}
	if strings.HasPrefix(ev.Set, storage.MachinePrefix) {
		l.deleteStrayRecord(ev)
		return
	}
	id, ok := storage.ParseJobKey(ev.Set)
	if !ok {
		return
	}
	job := l.cluster.Jobs[id]
	if job != nil && ev.Revision <= job.Records.Revisions[0] {
		return
	}
	if job != nil && l.inFlight != nil && storage.Writer(ev.Value) == l.inFlight.writer {
		return // our own write, whose answer is on its way
	}
	rec, err := storage.DecodeJob(ev.Value)
	if err != nil {
		l.leaveAlone(id, err)
		return
	}
	if job == nil {
		l.addJob(rec, ev.Revision)
		l.lifecycle.CheckEnded(l.cluster.Jobs[id])
		l.plan = true
		return
	}
	l.merge(job, rec, ev.Revision)
}

// merge takes what a peer may have written: a cancellation.
func (l *leader) merge(job *cluster.Job, rec *storage.Job, revision protocol.Revision) {
	job.Records.Revisions[0] = max(job.Records.Revisions[0], revision)
	if rec.Cancelled {
		l.cancelJob(job)
	}
}

// cancelFromPeer takes a peer's confirmation that a job's cancellation is in the
// records. What is written of the job before the watch shows that is refused, and
// read again.
func (l *leader) cancelFromPeer(id protocol.JobID) {
	if job := l.cluster.Jobs[id]; job != nil {
		l.cancelJob(job)
	}
}

func (l *leader) cancelJob(job *cluster.Job) {
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
		l.tickRestored()
		if l.n.lead != l {
			return
		}
	}
	if l.plan && !l.n.now.Before(l.planAt) || l.n.now.Sub(l.planAt) > tuning.MaxSchedulingInterval {
		l.plan = false
		l.runSchedulingCycle()
		l.planAt = l.n.now.Add(l.scheduler.CyclePause())
	}
	l.splitOutgrown()
	l.commitNext()
	l.agents.Delivery.SendPending()
}
