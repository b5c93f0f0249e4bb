package lifecycle

import (
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/reconcile"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// stopIncompleteGang ends an attempt of a gang of which some task is proven gone.
func (m *Manager) stopIncompleteGang(job *cluster.Job) {
	m.recovery.Observe(reconcile.Difference{Class: reconcile.GangIncomplete, EntryIndex: -1,
		ID: reconcile.AttemptID{TaskID: reconcile.TaskID{Job: job.ID}, Attempt: job.Epoch}})
	m.stopGang(job, 0)
}

// isIncomplete says whether a gang's attempt can no longer become whole.
func (m *Manager) isIncomplete(job *cluster.Job) bool {
	g := reconcile.GangAttempt{Tasks: len(job.Tasks)}
	for _, attempt := range job.Attempts {
		switch {
		case attempt.Orphaned: // an older attempt that is being ended
		case attempt.Key.Number == job.Epoch:
			g.Present++
		default:
			g.Older++
		}
	}
	return g.Incomplete()
}

// stopGang ends a gang's attempt: every task is told to stop at once, so that
// a graceful stop reaches all of them within the gang's patience.
func (m *Manager) stopGang(job *cluster.Job, graceS float64) {
	if !job.BeginStop() {
		return
	}
	m.log.Debug("gang stopping", "job", job.ID, "attempt", job.Epoch, "grace", graceS)
	for _, attempt := range job.SortedAttempts() {
		m.Stop(attempt, graceS)
	}
}

// reserveSurvivingMachines keeps the machines of a broken gang's other tasks for its next
// attempt: the repair then only has to find capacity for what was lost.
func (m *Manager) reserveSurvivingMachines(job *cluster.Job) {
	job.SurvivingMachines = map[protocol.MachineID]bool{}
	for _, attempt := range job.SortedAttempts() {
		job.SurvivingMachines[attempt.Machine.ID] = true
		if attempt.Machine.ReservedFor == nil {
			attempt.Machine.ReserveFor(job, m.state.Now().Add(tuning.ReservationTimeout))
		}
	}
}
