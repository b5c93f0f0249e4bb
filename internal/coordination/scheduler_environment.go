package coordination

import (
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
)

// schedulerEnvironment implements scheduler.Environment.
type schedulerEnvironment struct{ leaderEnvironment }

// StartsWithheld implements scheduler.Environment.
func (se schedulerEnvironment) StartsWithheld(job *cluster.Job) bool {
	return se.l.restoreMonitor.WithholdsStarts(job)
}

// AwaitsRecordSplit implements scheduler.Environment.
func (se schedulerEnvironment) AwaitsRecordSplit(job *cluster.Job) bool {
	return se.l.committer.AwaitsRecordSplit(job)
}

// MachinesObtainable implements scheduler.Environment.
func (se schedulerEnvironment) MachinesObtainable(job *cluster.Job, zone protocol.ZoneName) bool {
	return se.l.autoscaler.MachinesObtainable(job, zone)
}

// TaskPlaced implements scheduler.Environment.
func (se schedulerEnvironment) TaskPlaced(attempt *cluster.Attempt) {
	if attempt.Key.Number > 1 {
		se.l.n.metrics.Repairs++
	}
	se.l.committer.MarkDirty(attempt.Job, attempt.Job.RecordOf(attempt.Key.Index))
}

// Preempt implements scheduler.Environment.
func (se schedulerEnvironment) Preempt(victim *cluster.Attempt) {
	se.l.n.metrics.Preemptions++
	se.l.lifecycle.Preempt(victim)
}

// Stop implements scheduler.Environment.
func (se schedulerEnvironment) Stop(attempt *cluster.Attempt, graceS float64) {
	se.l.lifecycle.Stop(attempt, graceS)
}
