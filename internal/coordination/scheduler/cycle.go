package scheduler

import (
	"time"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// Demand is a job that waits for machines, and the number of its tasks that need them.
type Demand struct {
	Job   *cluster.Job
	Tasks int
}

// RunCycle runs one scheduling cycle. It processes the jobs in the order of Queue and keeps each
// team within its limits. It returns the jobs that wait for machines.
func (sc *Scheduler) RunCycle() []Demand {
	sc.releaseObsoleteReservations()
	sc.cycle = newCycle(sc.state)
	defer func() { sc.machinesExamined, sc.cycle = sc.cycle.machinesExamined, nil }()
	sc.perGPURequirements.update(sc.state.Jobs)
	queue := sc.Queue()
	markWithinGuarantee(queue, sc.state.Quotas)
	markMayReclaim(queue)
	var demand []Demand
	for i, job := range queue {
		if startsNonGangGroup(queue, i) {
			sc.placeImageLocal(queue[i:])
		}
		if tasks := sc.placeJob(job); tasks > 0 {
			demand = append(demand, Demand{Job: job, Tasks: tasks})
			sc.freeCapacityFor(job, tasks)
		}
	}
	sc.waitingJobs = len(demand)
	return demand
}

// startsNonGangGroup reports whether the job at index is the first of a group of consecutive
// arrays and services that have the same priority.
func startsNonGangGroup(queue []*cluster.Job, index int) bool {
	if queue[index].Spec.Gang() {
		return false
	}
	return index == 0 || queue[index-1].Spec.Gang() || queue[index-1].Priority != queue[index].Priority
}

// placeJob places as many tasks of a job as possible. It returns the number of tasks for which
// machines should be freed or added.
func (sc *Scheduler) placeJob(job *cluster.Job) int {
	tasks := sc.WaitingTasks(job)
	if tasks == 0 {
		return 0
	}
	if job.Spec.Gang() {
		if !job.Failures.AtFault && sc.preemptOnImageLocalMachines(job) || sc.placeGang(job) {
			return 0
		}
	} else if tasks = sc.placeTasks(job, imageOptional); tasks == 0 {
		return 0
	}
	if job.Failures.FreeCapacityOnly(sc.state.Now()) {
		return 0
	}
	if job.Failures.AtFault && !job.Spec.Gang() {
		tasks = 1 // enough to show whether the job works
	}
	tasks = min(tasks, sc.state.TasksWithinLimit(job))
	if job.Spec.Gang() && tasks < len(job.Tasks) {
		return 0 // its team's limit blocks it, not a lack of machines
	}
	return tasks
}

// freeCapacityFor preempts work for a waiting job. For a gang that has waited longer than the
// backfill barrier delay, it may also reserve machines.
func (sc *Scheduler) freeCapacityFor(job *cluster.Job, tasks int) {
	sc.preemptFor(job, tasks)
	if job.Spec.Gang() && sc.state.Now().Sub(job.Queue.WaitingSince) > sc.state.Config.Operator.BackfillBarrierDelay {
		sc.reserveMachines(job)
	}
}

// CyclePause returns the pause after a cycle. The pause is longer the more machines the cycle
// examined and the smaller the controller's share of a core is, so that scheduling leaves
// CPU time for heartbeats and commits.
func (sc *Scheduler) CyclePause() time.Duration {
	pause := sc.state.Config.Cluster.Process.ThrottleInterval(time.Duration(sc.machinesExamined)*tuning.CandidateCPUCost, tuning.SchedulingCPUShare)
	return min(max(pause, tuning.MinSchedulingInterval), tuning.MaxSchedulingInterval)
}

// cycle caches fleet-wide facts for one scheduling cycle, so that they are computed once and
// not once per job. Its sums also show which searches cannot succeed, so that these are
// skipped.
type cycle struct {
	state            *cluster.State
	schedulable      []*cluster.Machine // machines that accept new tasks
	withFreeCapacity []*cluster.Machine // those with free capacity of every kind, where GPU tasks may fit
	machinesExamined int                // machines examined so far, counted each time
	examineLimit     int                // no preemption search starts once machinesExamined reaches it
	capacity         map[protocol.ZoneName]*zoneCapacity
	// unreported is the free capacity in each zone on machines that have not reported yet
	// during a recovery.
	unreported map[protocol.ZoneName]cluster.Resources
}

// newCycle examines every machine and returns a cycle for them.
func newCycle(state *cluster.State) *cycle {
	machines := state.OrderedMachines
	c := &cycle{state: state, machinesExamined: len(machines), examineLimit: len(machines) + tuning.MinExaminedMachines}
	if cores := state.Config.Cluster.Process.Cores; cores > 0 {
		c.examineLimit = max(c.examineLimit, int(cores*float64(tuning.MaxSchedulingCycleTime/tuning.CandidateCPUCost)))
	}
	for _, machine := range machines {
		if !state.Schedulable(machine) {
			continue
		}
		c.schedulable = append(c.schedulable, machine)
		if machine.HasFree(state.TypeOf(machine)) {
			c.withFreeCapacity = append(c.withFreeCapacity, machine)
		}
	}
	return c
}

// currentCycle returns the running cycle. Between cycles it returns a new one for the caller.
func (sc *Scheduler) currentCycle() *cycle {
	if sc.cycle != nil {
		return sc.cycle
	}
	return newCycle(sc.state)
}

// examineLimitReached reports whether the cycle has examined so many machines that the rest
// of the queue must wait until the next cycle for preemption.
func (c *cycle) examineLimitReached() bool { return c.machinesExamined >= c.examineLimit }
