package lifecycle_test

import (
	"testing"
	"time"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/clustertest"
	"github.com/gappond/gappond/internal/coordination/lifecycle"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

var failed = &protocol.TaskStatus{State: protocol.TaskExited, Cause: protocol.CauseError}

// failOn has an attempt of a new job fail on a machine.
func (l *testLeader) failOn(machine *cluster.Machine) *cluster.Job {
	job := l.AddJob(clustertest.Array(1))
	l.failAgainOn(job, machine)
	return job
}

// failAgainOn has another attempt of a job fail on a machine.
func (l *testLeader) failAgainOn(job *cluster.Job, machine *cluster.Machine) {
	attempt := l.AddAttempt(job, 0, job.Tasks[0].LastAttempt+1, machine, 1)
	job.Tasks[0].LastAttempt++
	l.HandleExit(attempt, failed)
	l.RemoveGone(attempt, lifecycle.ExitReported)
}

// quarantine has as many jobs fail on a machine as it takes to quarantine it.
func (l *testLeader) quarantine(machine *cluster.Machine) (jobs []*cluster.Job) {
	for range tuning.MaxMachineFailures {
		jobs = append(jobs, l.failOn(machine))
	}
	return jobs
}

// TestCordonEndsInTime: a machine that was cordoned but could not be deleted was out of use for good.
func TestCordonEndsInTime(t *testing.T) {
	for _, c := range []struct {
		name      string
		cordon    func(l *testLeader, machine *cluster.Machine)
		after     time.Duration // 0: never
		wantTrial bool
	}{
		{"quarantined", func(l *testLeader, machine *cluster.Machine) { l.quarantine(machine) }, tuning.QuarantineTime, true},
		{"by an earlier leader", func(l *testLeader, machine *cluster.Machine) { machine.InheritCordon(l.Now()) }, tuning.QuarantineTime, true},
		{"drained", func(l *testLeader, machine *cluster.Machine) { l.Drain(machine) }, tuning.DrainTime, false},
		{"with a preemption notice", func(l *testLeader, machine *cluster.Machine) {
			machine.SpotNotice = true
			l.Drain(machine)
		}, 0, false},
		{"being deleted", func(l *testLeader, machine *cluster.Machine) {
			l.quarantine(machine)
			machine.Deleting = true
		}, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newTestLeader()
			machine := l.AddMachine("i-1", "big", "a")
			c.cordon(l, machine)
			from := l.Now()
			for l.Now().Sub(from) < 5*time.Minute && machine.Cordoned {
				l.Advance(time.Second)
				l.Heartbeat()
				l.ReviewMachines()
			}
			if took := l.Now().Sub(from); c.after > 0 && took != c.after || machine.Cordoned != (c.after == 0) {
				t.Errorf("cordoned %v after %v", machine.Cordoned, took)
			}
			if onTrial := machine.Trial != nil; onTrial != c.wantTrial {
				t.Errorf("on trial: %v, want the opposite", onTrial)
			}
		})
	}
}

// TestTrialAdmitsOneJobAtATime: on a machine that may still be faulty, one job that failed nowhere
// starts at a time, until a task has run long enough to show that the machine works. If the job
// fails, the machine is quarantined again at once.
func TestTrialAdmitsOneJobAtATime(t *testing.T) {
	for _, works := range []bool{true, false} {
		l := newTestLeader()
		machine := l.AddMachine("i-1", "big", "a")
		jobs := append(l.quarantine(machine), l.AddJob(clustertest.Array(1)), l.AddJob(clustertest.Array(1)))
		l.Advance(tuning.QuarantineTime)
		l.Heartbeat()
		l.ReviewMachines()
		old, fresh, next := jobs[0], jobs[len(jobs)-2], jobs[len(jobs)-1]
		l.checkAdmitted(t, machine, map[*cluster.Job]bool{old: false, fresh: true, next: true})
		machine.Admit(fresh, l.Now())
		l.Advance(time.Second)
		l.PlaceAll(fresh, machine)
		l.Run(fresh)
		l.checkAdmitted(t, machine, map[*cluster.Job]bool{old: false, fresh: true, next: false})
		if !works {
			l.HandleExit(fresh.Tasks[0].Active, failed)
			if !machine.Quarantined || !machine.Cordoned {
				t.Error("the machine is not quarantined again")
			}
			continue
		}
		l.Advance(tuning.WorkingRunTime)
		l.Heartbeat()
		l.ReviewMachines()
		l.checkAdmitted(t, machine, map[*cluster.Job]bool{old: true, fresh: true, next: true})
		if machine.Suspected() {
			t.Error("the machine is still suspected")
		}
	}
}

// checkAdmitted checks which jobs may start tasks on a machine.
func (l *testLeader) checkAdmitted(t *testing.T, machine *cluster.Machine, want map[*cluster.Job]bool) {
	t.Helper()
	for job, admitted := range want {
		if got := machine.Admits(job, l.Now()); got != admitted {
			t.Errorf("%s may start: %v, want %v", job.ID, got, admitted)
		}
	}
}

// TestFailuresOfMistakenJobsStopCounting: failures that turn out to be the jobs' own fault kept a
// machine in quarantine.
func TestFailuresOfMistakenJobsStopCounting(t *testing.T) {
	for _, c := range []struct {
		name      string
		then      func(l *testLeader, job *cluster.Job)
		wantEnded bool
	}{
		{"nothing happens", func(*testLeader, *cluster.Job) {}, false},
		{"the jobs are cancelled", (*testLeader).cancel, true},
		{"the jobs are cancelled while they run elsewhere", func(l *testLeader, job *cluster.Job) {
			l.PlaceAll(job, l.AddMachine("i-2", "big", "a"))
			l.Run(job)
			l.Advance(tuning.WorkingRunTime)
			l.Heartbeat()
			l.cancel(job)
		}, false},
		{"the jobs fail everywhere", func(l *testLeader, job *cluster.Job) {
			for _, id := range []protocol.MachineID{"i-2", "i-3"} {
				l.failAgainOn(job, l.AddMachine(id, "big", "a"))
			}
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newTestLeader()
			machine := l.AddMachine("i-1", "big", "a")
			for _, job := range l.quarantine(machine) {
				c.then(l, job)
			}
			l.ReviewMachines()
			if machine.Cordoned == c.wantEnded || machine.Suspected() == c.wantEnded {
				t.Errorf("cordoned %v, suspected %v", machine.Cordoned, machine.Suspected())
			}
		})
	}
}

// cancel has a job's user cancel it.
func (l *testLeader) cancel(job *cluster.Job) {
	job.Cancel()
	l.WithdrawFailures(job)
}

// TestRefutedFailuresDoNotCount: a job that fails where another one works quarantined one working
// machine after the other. Work that began before the failure shows nothing.
func TestRefutedFailuresDoNotCount(t *testing.T) {
	for _, startsAfterFailure := range []bool{true, false} {
		l := newTestLeader()
		machine := l.AddMachine("i-1", "big", "a")
		other := l.AddJob(clustertest.Array(1))
		l.PlaceAll(other, machine)
		if !startsAfterFailure {
			l.Run(other)
			l.Advance(time.Second)
		}
		mistaken := l.failOn(machine)
		l.Advance(time.Second)
		l.Run(other)
		l.Advance(tuning.WorkingRunTime)
		l.Heartbeat()
		l.ReviewMachines()
		if machine.Suspected() == startsAfterFailure {
			t.Errorf("work began after the failure: %v, machine suspected: %v", startsAfterFailure, machine.Suspected())
		}
		l.failAgainOn(mistaken, machine)
		l.failOn(machine)
		if machine.Quarantined == startsAfterFailure {
			t.Errorf("work began after the failure: %v, machine quarantined: %v", startsAfterFailure, machine.Quarantined)
		}
	}
}

// TestBlameOfJobEnds: a job to which its failures were attributed was never given machines again,
// also after it had worked.
func TestBlameOfJobEnds(t *testing.T) {
	for _, c := range []struct {
		name    string
		then    func(l *testLeader, job *cluster.Job, machine *cluster.Machine)
		atFault bool
	}{
		{"nothing happens", func(*testLeader, *cluster.Job, *cluster.Machine) {}, true},
		{"a task succeeds", func(l *testLeader, job *cluster.Job, machine *cluster.Machine) {
			l.ObserveSuccess(machine, job, job.Tasks[0].Active)
		}, false},
		{"a task runs for a while", func(l *testLeader, job *cluster.Job, _ *cluster.Machine) {
			l.Run(job)
			l.Advance(tuning.WorkingRunTime)
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newTestLeader()
			job := l.AddJob(clustertest.Array(1))
			for _, id := range []protocol.MachineID{"i-1", "i-2", "i-3"} {
				l.failAgainOn(job, l.AddMachine(id, "big", "a"))
			}
			machine := l.AddMachine("i-4", "big", "a")
			l.PlaceAll(job, machine)
			c.then(l, job, machine)
			l.Heartbeat()
			l.ReviewJobs()
			if job.Failures.AtFault != c.atFault || (len(job.Failures.Machines) > 0) != c.atFault {
				t.Errorf("at fault %v, failed on %d machines", job.Failures.AtFault, len(job.Failures.Machines))
			}
		})
	}
}

// TestCapacityRetriesOfBlamedJobPause: a job that is at fault gets machines freed or requested after
// pauses that double each time it fails. Failures on free capacity in between change nothing.
func TestCapacityRetriesOfBlamedJobPause(t *testing.T) {
	l := newTestLeader()
	job := l.AddJob(clustertest.Array(1))
	for _, id := range []protocol.MachineID{"i-1", "i-2", "i-3"} {
		l.failAgainOn(job, l.AddMachine(id, "big", "a"))
	}
	machine := l.AddMachine("i-4", "big", "a")
	for retry, pause := range []time.Duration{1, 2, 4, 8, 16, 32, 64, 64} {
		pause *= tuning.CapacityRetryPause
		l.Advance(pause - time.Second)
		l.failAgainOn(job, machine)
		if !job.Failures.FreeCapacityOnly(l.Now()) {
			t.Errorf("retry %d: allowed before %v have passed", retry, pause)
		}
		l.Advance(time.Second)
		if job.Failures.FreeCapacityOnly(l.Now()) {
			t.Errorf("retry %d: not allowed after %v", retry, pause)
		}
		l.failAgainOn(job, machine)
	}
}

// TestMachineThatFailsWorkingJobsSaysNothingAboutJob: a job was blamed for failures on machines on
// which jobs failed that work elsewhere.
func TestMachineThatFailsWorkingJobsSaysNothingAboutJob(t *testing.T) {
	l := newTestLeader()
	working, job := l.addRunningJob(clustertest.Array(1), l.AddMachine("i-0", "big", "a")), l.AddJob(clustertest.Array(1))
	l.Advance(tuning.WorkingRunTime)
	l.Heartbeat()
	for _, id := range []protocol.MachineID{"i-1", "i-2", "i-3"} {
		machine := l.AddMachine(id, "big", "a")
		l.HandleExit(l.AddAttempt(working, 0, 2, machine, 1), failed)
		working.Failures.ShowWorking()
		l.failAgainOn(job, machine)
		if !machine.Quarantined {
			t.Errorf("%s is not quarantined", id)
		}
	}
	if job.Failures.AtFault {
		t.Error("the job is at fault")
	}
}
