// Package lifecycle handles the end of task attempts: what an exit means for the job and the
// machine, which attempts stop together, and when a job is over. All attempts of a gang end
// together. A machine that is to be deleted is drained gracefully. Failures are attributed to
// the machine or to the job.
//
// It changes only the cluster model. It places no tasks, sends no commands and writes no
// records, but tells the leader which machines have commands pending and which records must be
// written.
package lifecycle

import (
	"log/slog"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/reconcile"
	"github.com/gappond/gappond/internal/protocol"
)

// Environment is what this package needs from the leader.
type Environment interface {
	// RequestScheduling requests that a scheduling cycle run soon.
	RequestScheduling()
	// RecordChanged schedules a write of one of a job's records.
	RecordChanged(job *cluster.Job, record int)
	// RecordMachine schedules a write of the machine's entry in its machine record.
	RecordMachine(machine *cluster.Machine)
	// CommandsPending has the pending commands for a machine's agent sent without waiting for
	// its next heartbeat.
	CommandsPending(machine *cluster.Machine)
	// Unreadable reports whether a record of a job cannot be read. Such a job is left as it is
	// until a user cancels it.
	Unreadable(job protocol.JobID) bool
}

// Manager handles the end of attempts.
type Manager struct {
	state    *cluster.State
	recovery *reconcile.RecoveryPhase // counts the gangs found incomplete
	env      Environment
	log      *slog.Logger
	counters *Counters
}

// New returns a manager.
func New(state *cluster.State, recovery *reconcile.RecoveryPhase, env Environment, log *slog.Logger, counters *Counters) *Manager {
	return &Manager{state: state, recovery: recovery, env: env, log: log, counters: counters}
}

// RemoveGone removes an attempt that is proven gone from the accounting, and handles what
// follows for its gang and its job.
func (m *Manager) RemoveGone(attempt *cluster.Attempt, evidence Evidence) {
	job, machine := attempt.Job, attempt.Machine
	if !m.state.RemoveAttempt(attempt) {
		return
	}
	m.log.Debug("task gone", "job", job.ID, "task", attempt.Key.Index, "attempt", attempt.Key.Number, "machine", machine.ID, "state", attempt.ReportedState, "evidence", evidence.String())
	m.counters.GoneAttempts[evidence]++
	m.env.RequestScheduling()
	if job.Spec.Gang() && !attempt.Orphaned && !job.Complete() && !job.Stopping && len(job.Attempts) > 0 {
		m.reserveSurvivingMachines(job)
		m.stopIncompleteGang(job)
	}
	m.CheckEnded(job)
}

// CheckEnded checks whether a job is over, and whether the attempt of a gang has ended or can no
// longer become complete. If so, it stops the remaining attempts, has the job's record written or
// requests scheduling, as needed.
func (m *Manager) CheckEnded(job *cluster.Job) {
	if job.Finished || m.env.Unreadable(job.ID) && !job.Cancelled {
		return
	}
	if job.EndStop() {
		m.env.RequestScheduling()
	}
	switch {
	case job.Cancelled:
		for _, attempt := range job.SortedAttempts() {
			m.Stop(attempt, 0)
		}
		if len(job.Attempts) == 0 {
			m.env.RecordChanged(job, 0)
		}
	case job.Complete():
		m.env.RecordChanged(job, 0)
	case job.Spec.Gang() && len(job.Attempts) > 0 && !job.Stopping && m.isIncomplete(job):
		m.stopIncompleteGang(job)
	}
}

// MarkDone marks a task as done. The tasks of a gang complete together: if one is done, all
// are.
func (m *Manager) MarkDone(job *cluster.Job, index int) {
	if job.Finished || job.Tasks[index].Done || job.Spec.Service() {
		return // a replica is never done, whatever its agent reports
	}
	mark := func(i int) {
		if job.CompleteTask(i) {
			m.env.RecordChanged(job, job.RecordOf(i))
		}
	}
	if job.Spec.Gang() {
		for i := range job.Tasks {
			mark(i)
		}
	} else {
		mark(index)
	}
	m.env.RequestScheduling()
}
