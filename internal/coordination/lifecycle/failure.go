package lifecycle

import (
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// HandleExit handles the exit of an attempt, as reported by its agent.
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
		// protocol.CauseUnknownTask, or a cause that only a later version knows: retry, but not
		// at once.
		job.RetryAt = m.state.Now().Add(tuning.StoreRetryDelay * 8)
	}
}

// attributeError attributes a task's error to its machine. Once the job has failed on
// tuning.MaxJobFailures machines, it attributes the errors to the job instead. The error of a
// cancelled job counts against nobody, and an error on a machine on which a job failed that works
// elsewhere does not count against the job.
func (m *Manager) attributeError(job *cluster.Job, machine *cluster.Machine) {
	machine.EndTrialOf(job)
	if job.Cancelled {
		return
	}
	if !m.failsWorkingJobs(machine) {
		job.Failures.Machines[machine.ID] = true
	}
	job.Failures.AvoidUntil[machine.ID] = m.state.Now().Add(tuning.MachineFailureBackoff)
	if len(job.Failures.Machines) >= tuning.MaxJobFailures {
		m.attributeToJob(job)
		return
	}
	if job.Failures.Refuted || job.Failures.AttributedToJob > 0 || !machine.RecordFailure(job.ID, m.state.Now()) {
		return
	}
	if len(machine.FailedJobs) >= tuning.MaxMachineFailures && machine.Quarantine(m.state.Now()) {
		m.log.Info("machine quarantined", "machine", machine.ID, "job", job.ID, "failed_jobs", len(machine.FailedJobs))
		m.Drain(machine)
	}
}

// failsWorkingJobs reports whether a job that works elsewhere failed on a machine. Jobs that are not
// in the model any more are done, or were cancelled after they had worked.
func (m *Manager) failsWorkingJobs(machine *cluster.Machine) bool {
	for id := range machine.FailedJobs {
		if job := m.state.Jobs[id]; job == nil || m.works(job) {
			return true
		}
	}
	return false
}

// attributeToJob attributes a job's failures to the job itself, and no longer to the machines on
// which it failed. Until it works somewhere, the job is retried with growing pauses and, most of
// the time, only on free capacity: otherwise it could preempt working tasks of lower priority again
// and again. The replicas of a service have their own backoff.
func (m *Manager) attributeToJob(job *cluster.Job) {
	if job.Spec.Service() {
		clear(job.Failures.Machines)
	} else {
		job.RetryAt = m.state.Now().Add(tuning.FailureBackoff << min(job.Failures.AttributedToJob, tuning.MaxFailureBackoffDoublings))
		job.Failures.AttributedToJob++
		job.Failures.Attribute(m.state.Now())
	}
	for _, other := range m.state.Machines {
		delete(other.FailedJobs, job.ID)
	}
	clear(job.Failures.AvoidUntil)
}

// handleReplicaExit handles the exit of a replica that ended on its own, although it should run
// until a user cancels its service, and returns whether the replica was stable. A replica that
// ran for at least tuning.ReplicaStableTime is stable: its exit counts neither against it nor
// against its machine. A replica is restarted at once. After an early exit with an error it avoids
// the machine, see attributeError. If it keeps ending soon after its start, it is restarted after
// growing pauses.
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
