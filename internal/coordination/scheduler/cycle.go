package scheduler

import (
	"time"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// Demand is a job that waits, and for how many tasks.
type Demand struct {
	Job   *cluster.Job
	Tasks int
}

// RunCycle is one scheduling cycle over the queue: by priority, then in order of arrival,
// within the teams' limits. What it returns waits for machines.
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

// startsNonGangGroup says whether arrays or services of one priority begin at a place of the
// queue.
func startsNonGangGroup(queue []*cluster.Job, at int) bool {
	if queue[at].Spec.Gang() {
		return false
	}
	return at == 0 || queue[at-1].Spec.Gang() || queue[at-1].Priority != queue[at].Priority
}

// placeJob places a job as far as it can and returns for how many tasks machines are to be
// freed or added.
func (sc *Scheduler) placeJob(job *cluster.Job) int {
	tasks := sc.WaitingTasks(job)
	if tasks == 0 {
		return 0
	}
	if job.Spec.Gang() {
		if job.Failures.AttributedToJob == 0 && sc.preemptOnImageLocalMachines(job) || sc.placeGang(job) {
			return 0
		}
	} else if tasks = sc.placeTasks(job, imageOptional); tasks == 0 {
		return 0
	}
	if job.Failures.AttributedToJob > 0 {
		return 0 // it is tried on what is free alone
	}
	tasks = min(tasks, sc.state.TasksWithinLimit(job))
	if job.Spec.Gang() && tasks < len(job.Tasks) {
		return 0 // its team's limit is in the way, not the machines
	}
	return tasks
}

// freeCapacityFor preempts work for a job that waits, and reserves machines for a gang that
// has waited for long.
func (sc *Scheduler) freeCapacityFor(job *cluster.Job, tasks int) {
	sc.preemptFor(job, tasks)
	if job.Spec.Gang() && sc.state.Now().Sub(job.Queue.WaitingSince) > sc.state.Config.Operator.BackfillBarrierDelay {
		sc.currentCycle().reserveMachines(job)
	}
}

// CyclePause is the pause after a cycle: longer the more machines it had to examine and
// the smaller the controller's share of a core is, so that scheduling leaves time for
// heartbeats and commits.
func (sc *Scheduler) CyclePause() time.Duration {
	pause := sc.state.Config.Cluster.Process.Pause(time.Duration(sc.machinesExamined)*tuning.CandidateCPUCost, tuning.SchedulingCPUShare)
	return min(max(pause, tuning.MinSchedulingInterval), tuning.MaxSchedulingInterval)
}

// cycle is what one cycle knows of all machines. What every job would have to find out in
// the whole fleet is found out once; what no search can find is not searched for.
type cycle struct {
	state            *cluster.State
	schedulable      []*cluster.Machine // machines that take tasks
	withFreeCapacity []*cluster.Machine // those of them that can take a task with GPUs, if they have any
	machinesExamined int                // machines examined so far
	examineLimit     int                // from which on no more work is preempted in this cycle
	capacity         map[protocol.ZoneName]*zoneCapacity
	// unreported is the free capacity of every zone's machines that have yet to report in
	// a recovery.
	unreported map[protocol.ZoneName]cluster.Resources
}

// newCycle examines every machine.
func newCycle(state *cluster.State) *cycle {
	machines := state.OrderedMachines
	c := &cycle{state: state, machinesExamined: len(machines), examineLimit: len(machines) + tuning.MinExaminedMachines}
	if cores := state.Config.Cluster.Process.Cores; cores > 0 {
		c.examineLimit = max(c.examineLimit, int(cores*float64(tuning.MaxSchedulingCycle/tuning.CandidateCPUCost)))
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

// currentCycle is the cycle under way, or one just for the caller.
func (sc *Scheduler) currentCycle() *cycle {
	if sc.cycle != nil {
		return sc.cycle
	}
	return newCycle(sc.state)
}

// examineLimitReached says whether the cycle has examined so much that the rest of the queue takes
// its turn at preemption in the next one.
func (c *cycle) examineLimitReached() bool { return c.machinesExamined >= c.examineLimit }
