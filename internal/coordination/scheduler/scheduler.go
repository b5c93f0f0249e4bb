// Package scheduler decides which machine each task runs on. Each cycle processes the jobs by
// priority and then by queue time, which follows from a job's submission and its deadlines. A
// gang is placed all-or-nothing, in the smallest domain that fits it (the deepest fit of the
// buddy system): a machine, else a zone, else the region. Tasks of arrays and replicas of
// services are placed one by one on free capacity. For jobs that find no free capacity, the
// scheduler preempts work of lower priority, or of teams beyond their guaranteed quota, and
// reserves the capacity that becomes free.
//
// The scheduler works on the cluster model only and is deterministic. It does not write
// records, contact agents or call the cloud: its Environment acts on its decisions.
package scheduler

import (
	"log/slog"
	"time"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
)

// Environment is the part of the leader that the scheduler depends on.
type Environment interface {
	// Recovering reports whether a recovery after a failover is in progress, during which
	// some agents named in the stored records have not reported yet.
	Recovering() bool
	// StartsWithheld reports whether the job must not start any task yet.
	StartsWithheld(job *cluster.Job) bool
	// AwaitsRecordSplit reports whether a record of the gang must be split before the gang's
	// placement can be written. It also marks such records to be split.
	AwaitsRecordSplit(job *cluster.Job) bool
	// MachinesObtainable reports whether the cloud may create machines for a job in a zone, or in
	// any zone if zone is "": it has not refused all of them recently.
	MachinesObtainable(job *cluster.Job, zone protocol.ZoneName) bool
	// TaskPlaced schedules a new placement of a task to be written.
	TaskPlaced(attempt *cluster.Attempt)
	// Preempt stops an attempt to free its capacity for a waiting job.
	Preempt(victim *cluster.Attempt)
	// Stop asks an attempt to end within the grace period.
	Stop(attempt *cluster.Attempt, graceS float64)
}

// Scheduler assigns the tasks of jobs to machines.
type Scheduler struct {
	state *cluster.State
	env   Environment
	log   *slog.Logger

	cycle              *cycle // the current cycle, nil between cycles
	perGPURequirements perGPURequirements

	machinesExamined int // in the last cycle
	waitingJobs      int // jobs that still waited for machines after the last cycle
	// machineLostAt is when a machine of each zone was last deleted as unresponsive.
	machineLostAt map[protocol.ZoneName]time.Time
}

// New returns a scheduler for the given cluster model.
func New(state *cluster.State, env Environment, log *slog.Logger) *Scheduler {
	return &Scheduler{state: state, env: env, log: log, machineLostAt: map[protocol.ZoneName]time.Time{}}
}

// MachinesExamined returns how many machines the last cycle examined. A machine counts once for
// each time it was examined.
func (sc *Scheduler) MachinesExamined() int { return sc.machinesExamined }

// Waiting returns how many jobs still waited for machines after the last cycle.
func (sc *Scheduler) Waiting() int { return sc.waitingJobs }

// MachineLost records that a machine was deleted as unresponsive.
func (sc *Scheduler) MachineLost(machine *cluster.Machine) {
	sc.machineLostAt[machine.Zone] = sc.state.Now()
}

// assign adds an attempt of a task on a machine. The start command is sent only after the
// placement is committed.
func (sc *Scheduler) assign(job *cluster.Job, index int, number protocol.AttemptNumber, machine *cluster.Machine) {
	task := &job.Tasks[index]
	attempt := sc.state.AddAttempt(job, index, number, machine, machine.Agent.Incarnation)
	machine.Admit(job, sc.state.Now())
	task.LastAttempt, task.Active, job.EverPlaced = number, attempt, true
	sc.log.Debug("task placed", "job", job.ID, "task", index, "attempt", number, "machine", machine.ID)
	if machine.ReservedFor == job {
		machine.ReleaseReservation()
	}
	sc.env.TaskPlaced(attempt)
}
