// Package scheduler decides where tasks run. Every cycle goes over the queue by priority
// and order of arrival: gangs are placed whole by the buddy system's deepest fit, tasks
// of arrays and replicas of services where there is free capacity; where there is none,
// work of lower priority is preempted and capacity reserved.
//
// It works on the cluster model alone and is deterministic. It stores nothing, sends
// nothing and asks the cloud for nothing: what follows from its decisions is up to its
// Environment.
package scheduler

import (
	"log/slog"
	"time"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
)

// Environment is what the scheduler needs of the leader.
type Environment interface {
	// Recovering says whether a recovery after a failover lasts, in which agents that the
	// stored records name have yet to report.
	Recovering() bool
	// StartsWithheld says whether a job must not start anything yet.
	StartsWithheld(job *cluster.Job) bool
	// AwaitsRecordSplit says whether a gang has a record that must be split before its
	// places are written, and sees to it.
	AwaitsRecordSplit(job *cluster.Job) bool
	// TaskPlaced has a new place of a task written.
	TaskPlaced(attempt *cluster.Attempt)
	// Preempt stops an attempt for a job that waits.
	Preempt(victim *cluster.Attempt)
	// Stop asks an attempt to end.
	Stop(attempt *cluster.Attempt, graceS float64)
}

// Scheduler places the tasks of jobs on machines.
type Scheduler struct {
	state *cluster.State
	env   Environment
	log   *slog.Logger

	cycle              *cycle // the cycle under way, nil between two
	perGPURequirements perGPURequirements

	machinesExamined int // machines examined in the last cycle
	waitingJobs      int // jobs that waited for machines after the last cycle
	// machineLostAt is when a machine of a zone was last given up as silent.
	machineLostAt map[protocol.ZoneName]time.Time
}

// New makes a scheduler.
func New(state *cluster.State, env Environment, log *slog.Logger) *Scheduler {
	return &Scheduler{state: state, env: env, log: log, machineLostAt: map[protocol.ZoneName]time.Time{}}
}

// MachinesExamined is how many machines the last cycle examined, each time counted.
func (sc *Scheduler) MachinesExamined() int { return sc.machinesExamined }

// Waiting is how many jobs waited for machines after the last cycle.
func (sc *Scheduler) Waiting() int { return sc.waitingJobs }

// MachineLost notes that a machine was given up as silent.
func (sc *Scheduler) MachineLost(machine *cluster.Machine) {
	sc.machineLostAt[machine.Zone] = sc.state.Now()
}

// assign plans a task onto a machine. Its start leaves once that is committed.
func (sc *Scheduler) assign(job *cluster.Job, index int, number protocol.AttemptNumber, machine *cluster.Machine) {
	task := &job.Tasks[index]
	attempt := sc.state.AddAttempt(job, index, number, machine, machine.Agent.Incarnation)
	task.LastAttempt, task.Active, job.EverPlaced = number, attempt, true
	sc.log.Debug("task placed", "job", job.ID, "task", index, "attempt", number, "machine", machine.ID)
	if machine.ReservedFor == job {
		machine.ReleaseReservation()
	}
	sc.env.TaskPlaced(attempt)
}
