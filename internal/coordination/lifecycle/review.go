package lifecycle

import (
	"cmp"
	"slices"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/tuning"
)

// ReviewMachines ends the cordons that have lost their reason. A cordoned machine is normally
// deleted within seconds. If that is impossible, because its replicas fit nowhere else, it must
// not stay out of use: the failures counted against it may have been the jobs' own, and its
// fault may be over.
func (m *Manager) ReviewMachines() {
	for _, machine := range m.state.OrderedMachines {
		if machine.Suspected() {
			m.observeRunningTasks(machine)
		}
		if machine.Cordoned && !machine.Deleting && !machine.SpotNotice {
			m.reviewCordon(machine)
		}
	}
}

// reviewCordon ends a machine's cordon if the failures that led to it do not count any more, or if
// its time is over.
func (m *Manager) reviewCordon(machine *cluster.Machine) {
	cordonedFor := m.state.Now().Sub(machine.CordonedSince)
	switch {
	case machine.Quarantined && len(machine.FailedJobs) < tuning.MaxMachineFailures:
		m.uncordon(machine, "failures do not count any more")
	case machine.Quarantined && cordonedFor >= tuning.QuarantineTime:
		m.uncordon(machine, "quarantine is over")
	case machine.CordonInherited && cordonedFor >= tuning.QuarantineTime:
		m.uncordon(machine, "cordoned by an earlier leader and not deleted")
	case cordonedFor >= tuning.DrainTime:
		m.uncordon(machine, "drained for too long")
	}
}

// uncordon makes a machine accept tasks again. One that may still be faulty is tried with one job
// at a time.
func (m *Manager) uncordon(machine *cluster.Machine, reason string) {
	m.log.Info("machine uncordoned", "machine", machine.ID, "reason", reason)
	if machine.CordonInherited || machine.Quarantined && len(machine.FailedJobs) > 0 {
		machine.BeginTrial(m.state.Now())
	}
	machine.Uncordon()
	m.env.RecordMachine(machine)
	m.env.RequestScheduling()
}

// observeRunningTasks looks for a task on a suspected machine that has run for long enough to show
// that the machine works.
func (m *Manager) observeRunningTasks(machine *cluster.Machine) {
	if !m.state.ConfirmedAlive(machine) {
		return
	}
	for _, attempt := range cluster.SortedAttemptsOn(machine) {
		if attempt.ShowsWorking() && attempt.RanFor(tuning.WorkingRunTime, m.state.Now()) {
			m.machineWorks(attempt)
			return
		}
	}
}

// ObserveSuccess handles the success of a job's task on a machine. The attempt is nil if it is not
// in the model any more. A task that began before the last failure there says nothing about a quarantined
// machine.
func (m *Manager) ObserveSuccess(machine *cluster.Machine, job *cluster.Job, attempt *cluster.Attempt) {
	switch {
	case attempt != nil && attempt.ShowsWorking():
		m.machineWorks(attempt)
	case !machine.Quarantined && machine.Trial == nil:
		machine.ClearSuspicion()
	}
	job.Failures.ShowWorking()
}

// machineWorks handles an attempt that shows that its machine works. So other jobs that failed
// there failed by their own fault.
func (m *Manager) machineWorks(attempt *cluster.Attempt) {
	machine := attempt.Machine
	for id := range machine.FailedJobs {
		if job := m.state.Jobs[id]; job != nil && job != attempt.Job {
			job.Failures.Refuted = true
		}
	}
	attempt.Job.Failures.ShowWorking()
	machine.ClearSuspicion()
}

// WithdrawFailures makes the failures of a job that its user has cancelled not count against
// machines any more: a job that was submitted with a mistake fails everywhere until it is
// cancelled. Those of a job that works elsewhere still count.
func (m *Manager) WithdrawFailures(job *cluster.Job) {
	if m.works(job) {
		return
	}
	for id := range job.Failures.Machines {
		if machine := m.state.Machines[id]; machine != nil {
			delete(machine.FailedJobs, job.ID)
		}
	}
}

// works reports whether a task of the job is done, or has run for long enough to show that the job
// has no mistake.
func (m *Manager) works(job *cluster.Job) bool {
	return job.DoneTasks > 0 || m.runs(job)
}

// runs reports whether a task of the job has run for long enough to show that the job has no
// mistake.
func (m *Manager) runs(job *cluster.Job) bool {
	for _, attempt := range job.Attempts {
		if attempt.RanFor(tuning.WorkingRunTime, m.state.Now()) && m.state.ConfirmedAlive(attempt.Machine) {
			return true
		}
	}
	return false
}

// ReviewJobs ends the blame of jobs that failed and now run, and corrects the records of jobs that
// have stopped running.
func (m *Manager) ReviewJobs() {
	var stopped []*cluster.Job
	for _, job := range m.state.Jobs {
		if len(job.Failures.Machines) > 0 && m.runs(job) {
			job.Failures.ShowWorking()
		}
		if m.showsRunningWrongly(job) {
			stopped = append(stopped, job)
		}
	}
	slices.SortFunc(stopped, func(a, b *cluster.Job) int { return cmp.Compare(a.ID, b.ID) })
	for _, job := range stopped {
		m.env.RecordChanged(job, 0)
	}
}

// showsRunningWrongly reports whether a job's record has shown it as running for a while although
// none of its tasks has a placement. Most jobs are placed again sooner than that.
func (m *Manager) showsRunningWrongly(job *cluster.Job) bool {
	return job.Write.ShowsRunning && len(job.Attempts) == 0 && !job.Finished && !m.env.Unreadable(job.ID) &&
		m.state.Now().Sub(job.Queue.WaitingSince) >= tuning.RunningStatusLag
}
