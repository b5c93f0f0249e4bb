package lifecycle

import (
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/reconcile"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// stopIncompleteGang stops a gang's attempt that can no longer become complete, and reports the
// gang to the recovery as incomplete.
func (m *Manager) stopIncompleteGang(job *cluster.Job) {
	m.recovery.Observe(reconcile.Difference{Class: reconcile.GangIncomplete, EntryIndex: -1,
		ID: reconcile.AttemptID{TaskID: reconcile.TaskID{Job: job.ID}, Attempt: job.Epoch}})
	m.stopGang(job, 0)
}

// isIncomplete reports whether a gang's attempt can no longer become complete.
func (m *Manager) isIncomplete(job *cluster.Job) bool {
	g := reconcile.GangAttempt{Tasks: len(job.Tasks)}
	for _, attempt := range job.Attempts {
		switch {
		case attempt.Orphaned: // an older attempt that is being stopped
		case attempt.Key.Number == job.Epoch:
			g.Present++
		default:
			g.Older++
		}
	}
	return g.Incomplete()
}

// stopGang stops a gang's attempt. All tasks are told to stop at once, so that a graceful stop
// reaches each of them before it exits on its own, which it does within gang_peer_s seconds
// (a setting of the agents) of the end of another task of the gang.
func (m *Manager) stopGang(job *cluster.Job, graceS float64) {
	if !job.BeginStop() {
		return
	}
	m.log.Debug("gang stopping", "job", job.ID, "attempt", job.Epoch, "grace", graceS)
	for _, attempt := range job.SortedAttempts() {
		m.Stop(attempt, graceS)
	}
}

// reserveSurvivingMachines reserves the machines of a broken gang's remaining tasks for its next
// attempt, which then only needs new capacity for the tasks that were lost.
func (m *Manager) reserveSurvivingMachines(job *cluster.Job) {
	job.SurvivingMachines = map[protocol.MachineID]bool{}
	for _, attempt := range job.SortedAttempts() {
		job.SurvivingMachines[attempt.Machine.ID] = true
		if attempt.Machine.ReservedFor == nil {
			attempt.Machine.ReserveFor(job, m.state.Now().Add(tuning.ReservationTimeout))
		}
	}
}
