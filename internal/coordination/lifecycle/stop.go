package lifecycle

import (
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/scheduler"
	"github.com/gappond/gappond/internal/tuning"
)

// Stop asks an attempt to end. One whose start never left is gone at once,
// unless the transaction that places it is still in flight.
func (m *Manager) Stop(attempt *cluster.Attempt, graceS float64) {
	attempt.RequestStop(graceS)
	if !attempt.StartSent && !(attempt.Job.Write.InFlight && !attempt.Committed) {
		m.RemoveGone(attempt)
		return
	}
	m.env.CommandsPending(attempt.Machine)
}

// Drain empties a machine that is to go: everything that can save its progress
// stops now, what cannot may finish if it can.
func (m *Manager) Drain(machine *cluster.Machine) {
	m.env.RequestScheduling()
	if machine.Cordon() {
		m.env.RecordMachine(machine) // so that no leader places anything there any more
	}
	for _, attempt := range cluster.SortedAttemptsOn(machine) {
		if attempt.Stopping || attempt.Job.Spec.Service() || attempt.Job.Spec.CheckpointIntervalS == 0 && !machine.Quarantined {
			continue // replicas move one by one
		}
		m.stopGracefully(attempt)
	}
}

// stopGracefully stops an attempt with the time to save its progress; a gang stops as a whole.
func (m *Manager) stopGracefully(attempt *cluster.Attempt) {
	m.stopWithGang(attempt, attempt.Job.Spec.CheckpointSaveS+tuning.StopGraceSeconds)
}

// Preempt stops an attempt for a job that waits: gracefully if a checkpoint is worth that
// job's wait.
func (m *Manager) Preempt(attempt *cluster.Attempt) {
	if scheduler.ShouldCheckpointOnPreemption(attempt.Job.Spec) {
		m.stopGracefully(attempt)
	} else {
		m.stopWithGang(attempt, 0)
	}
}

// stopWithGang stops an attempt, and with it the other tasks of its gang.
func (m *Manager) stopWithGang(attempt *cluster.Attempt, graceS float64) {
	if attempt.Job.Attempts[attempt.Key] != attempt {
		return // went with another task of its gang
	}
	if attempt.Job.Spec.Gang() {
		if !attempt.Job.Stopping {
			m.stopGang(attempt.Job, graceS)
		}
		return
	}
	m.Stop(attempt, graceS)
}
