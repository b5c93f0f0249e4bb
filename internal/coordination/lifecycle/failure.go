package lifecycle

import (
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// HandleExit decides what follows from the exit of an attempt, as its agent reported it.
func (m *Manager) HandleExit(attempt *cluster.Attempt, exit *protocol.TaskStatus) {
	job, machine := attempt.Job, attempt.Machine
	m.log.Debug("task exited", "job", job.ID, "task", attempt.Key.Index, "attempt", attempt.Key.Number, "machine", machine.ID, "cause", exit.Cause, "saved", exit.Saved)
	if job.Spec.Service() && (exit.Cause == protocol.CauseDone || exit.Cause == protocol.CauseError) && m.handleReplicaExit(attempt) {
		return
	}
	switch exit.Cause {
	case protocol.CauseDone, protocol.CauseStopped, protocol.CauseGangBroken, protocol.CauseGangTimeout:
	case protocol.CauseError:
		m.attributeError(job, machine)
	case protocol.CauseNoCapacity, protocol.CauseTaskPresent:
		job.Failures.AvoidUntil[machine.ID] = m.state.Now().Add(tuning.MachineRefusalBackoff)
	default:
		// no_such, or a cause of a later version: try again, but not at once.
		job.RetryAt = m.state.Now().Add(tuning.StoreRetryDelay * 8)
	}
}

// attributeError holds a task's error against its machine, until the job has failed on so
// many that it must be the job's.
func (m *Manager) attributeError(job *cluster.Job, machine *cluster.Machine) {
	job.Failures.Machines[machine.ID] = true
	job.Failures.AvoidUntil[machine.ID] = m.state.Now().Add(tuning.MachineFailureBackoff)
	if len(job.Failures.Machines) >= tuning.MaxJobFailures {
		m.attributeToJob(job)
		return
	}
	machine.FailedJobs[job.ID] = true
	if len(machine.FailedJobs) >= tuning.MaxMachineFailures && machine.Quarantine() {
		m.log.Info("machine quarantined", "machine", machine.ID)
		m.Drain(machine)
	}
}

// attributeToJob clears the machines on which a job has failed. It goes on trying, ever
// more rarely, on what is free: it must not preempt sound work of lower priority for ever.
// The replicas of a service have pauses of their own.
func (m *Manager) attributeToJob(job *cluster.Job) {
	if job.Spec.Service() {
		clear(job.Failures.Machines)
	} else {
		job.RetryAt = m.state.Now().Add(tuning.FailureBackoff << min(job.Failures.AttributedToJob, tuning.MaxFailureBackoffDoublings))
		job.Failures.AttributedToJob++
	}
	for _, other := range m.state.Machines {
		delete(other.FailedJobs, job.ID)
	}
	clear(job.Failures.AvoidUntil)
}

// handleReplicaExit notes that a replica ended by itself, though it is to run until the user
// cancels its service. It starts again elsewhere at
// once; one that ends again and again does so ever more rarely. One that ran for a
// while is stable: neither it nor its machine caused the exit.
func (m *Manager) handleReplicaExit(attempt *cluster.Attempt) (stable bool) {
	task := &attempt.Job.Tasks[attempt.Key.Index]
	if !attempt.RunningSince.IsZero() && m.state.Now().Sub(attempt.RunningSince) >= tuning.ReplicaStableTime {
		task.EarlyExits = 0
		return true
	}
	if task.EarlyExits > 0 {
		task.RetryAt = m.state.Now().Add(tuning.ReplicaRestartBackoff << min(task.EarlyExits-1, tuning.MaxReplicaBackoffDoublings))
	}
	task.EarlyExits++
	return false
}
