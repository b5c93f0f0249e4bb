package lifecycle

import (
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/scheduler"
	"github.com/gappond/gappond/internal/tuning"
)

// Stop requests that an attempt stop within graceS seconds. An attempt whose start was never sent
// is removed at once, unless the transaction that stores its placement is still in flight.
func (m *Manager) Stop(attempt *cluster.Attempt, graceS float64) {
	attempt.RequestStop(graceS)
	if !attempt.StartSent && !(attempt.Job.Write.InFlight && !attempt.Committed) {
		m.RemoveGone(attempt, StartNotSent)
		return
	}
	m.env.CommandsPending(attempt.Machine)
}

// Drain cordons a machine that is to be deleted and stops the tasks that can save their progress.
// Tasks that cannot may run to their end, but not on a quarantined machine.
func (m *Manager) Drain(machine *cluster.Machine) {
	m.env.RequestScheduling()
	if machine.Cordon(m.state.Now()) {
		m.env.RecordMachine(machine) // so that no later leader places tasks there either
	}
	for _, attempt := range cluster.SortedAttemptsOn(machine) {
		if attempt.Stopping || attempt.Job.Spec.Service() || attempt.Job.Spec.CheckpointIntervalS == 0 && !machine.Quarantined {
			continue // the scheduler moves replicas, one of a service at a time
		}
		m.stopGracefully(attempt)
	}
}

// stopGracefully stops an attempt and gives it time to save its progress. If it belongs to a gang,
// the whole gang stops.
func (m *Manager) stopGracefully(attempt *cluster.Attempt) {
	m.stopWithGang(attempt, attempt.Job.Spec.CheckpointSaveS+tuning.StopGraceSeconds)
}

// Preempt stops an attempt in favour of a waiting job. It stops the attempt gracefully if saving
// its progress is worth the time for which the waiting job is delayed.
func (m *Manager) Preempt(attempt *cluster.Attempt) {
	if scheduler.ShouldCheckpointOnPreemption(attempt.Job.Spec) {
		m.stopGracefully(attempt)
	} else {
		m.stopWithGang(attempt, 0)
	}
}

// stopWithGang stops an attempt and, if it belongs to a gang, all other tasks of the gang.
func (m *Manager) stopWithGang(attempt *cluster.Attempt, graceS float64) {
	if attempt.Job.Attempts[attempt.Key] != attempt {
		return // already removed together with another task of its gang
	}
	if attempt.Job.Spec.Gang() {
		if !attempt.Job.Stopping {
			m.stopGang(attempt.Job, graceS)
		}
		return
	}
	m.Stop(attempt, graceS)
}
