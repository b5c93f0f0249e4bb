// Package lifecycle ends attempts of tasks: what an exit means for its job and its machine,
// what stops with what, when a job is over. A gang's attempt ends as a whole; a machine that
// is to go is emptied gracefully; failures are attributed to the machine or to the job.
//
// It changes the cluster model alone. It places nothing, and neither sends commands nor
// writes records: it says which machines and records have something to be sent or written.
package lifecycle

import (
	"log/slog"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/reconcile"
	"github.com/gappond/gappond/internal/protocol"
)

// Environment is what the life of attempts needs of the leader.
type Environment interface {
	// RequestScheduling has the next scheduling cycle run soon.
	RequestScheduling()
	// RecordChanged has one of a job's records written.
	RecordChanged(job *cluster.Job, record int)
	// RecordMachine has a machine's entry in its machine record written.
	RecordMachine(machine *cluster.Machine)
	// CommandsPending has commands to a machine's agent sent without waiting for its next
	// heartbeat.
	CommandsPending(machine *cluster.Machine)
	// Unreadable says whether a record of a job cannot be read, so that the job is left as
	// it is.
	Unreadable(job protocol.JobID) bool
}

// Manager ends attempts.
type Manager struct {
	state    *cluster.State
	recovery *reconcile.RecoveryPhase // counts the gangs that are found incomplete
	env      Environment
	log      *slog.Logger
}

// New makes a manager of attempts' lives.
func New(state *cluster.State, recovery *reconcile.RecoveryPhase, env Environment, log *slog.Logger) *Manager {
	return &Manager{state: state, recovery: recovery, env: env, log: log}
}

// RemoveGone takes an attempt that is proven gone out of every account.
func (m *Manager) RemoveGone(attempt *cluster.Attempt) {
	job, machine := attempt.Job, attempt.Machine
	if !m.state.RemoveAttempt(attempt) {
		return
	}
	m.log.Debug("task gone", "job", job.ID, "task", attempt.Key.Index, "attempt", attempt.Key.Number, "machine", machine.ID, "state", attempt.ReportedState)
	m.env.RequestScheduling()
	if job.Spec.Gang() && !attempt.Orphaned && !job.Complete() && !job.Stopping && len(job.Attempts) > 0 {
		m.reserveSurvivingMachines(job)
		m.stopIncompleteGang(job)
	}
	m.CheckEnded(job)
}

// CheckEnded takes the consequences if a gang's attempt, or the whole job, is over or can no
// longer become whole.
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

// MarkDone notes that a task has completed. The tasks of a gang complete
// together: if one is done, every one is.
func (m *Manager) MarkDone(job *cluster.Job, index int) {
	if job.Finished || job.Tasks[index].Done || job.Spec.Service() {
		return // a replica is never done, whatever it says
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
