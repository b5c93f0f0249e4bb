package scheduler

import (
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
)

// Sums over whole zones give an upper bound on the capacity that preemption can free. For most
// jobs this bound makes a search over every machine unnecessary.

// zoneCapacity is an upper bound on the capacity that a zone could give to a job.
type zoneCapacity struct {
	free        cluster.Resources                                // free, or in use by stopping attempts
	preemptible [protocol.PriorityCritical + 1]cluster.Resources // in use by other attempts, by priority
}

// zoneCapacities returns the capacity of each zone, computed once per cycle.
func (c *cycle) zoneCapacities() map[protocol.ZoneName]*zoneCapacity {
	if c.capacity != nil {
		return c.capacity
	}
	c.capacity = map[protocol.ZoneName]*zoneCapacity{}
	c.machinesExamined += len(c.schedulable)
	for _, machine := range c.schedulable {
		capacity := c.capacity[machine.Zone]
		if capacity == nil {
			capacity = &zoneCapacity{}
			c.capacity[machine.Zone] = capacity
		}
		capacity.addMachine(machine, c.state.FreeResources(machine))
	}
	return c.capacity
}

// addMachine adds a machine's free capacity and the capacity that its attempts use.
func (z *zoneCapacity) addMachine(machine *cluster.Machine, free cluster.Resources) {
	z.free.Add(free)
	for _, attempt := range machine.Attempts {
		if attempt.Stopping {
			z.free.AddTasks(attempt.Job.Spec, 1)
		} else {
			z.preemptible[attempt.Job.Priority].AddTasks(attempt.Job.Spec, 1)
		}
	}
}

// belowPriority returns the capacity that would be free if all work below a priority stopped.
func (z *zoneCapacity) belowPriority(priority protocol.Priority) cluster.Resources {
	sum := z.free
	for p := protocol.PriorityIdle; p < priority && int(p) < len(z.preemptible); p++ {
		sum.Add(z.preemptible[p])
	}
	return sum
}

// preemptionImpossible reports whether preemption certainly cannot free enough capacity for
// the given number of tasks of a job (for one task, if the job is not a gang): free capacity and
// all work of low enough priority, of whichever team, are too little together. Jobs mostly
// wait because the machines are full of work that may not be preempted. This check then avoids
// examining every machine for each of them.
func (c *cycle) preemptionImpossible(job *cluster.Job, tasks int) bool {
	if !job.Spec.Gang() {
		tasks = 1
	}
	belowPriority := job.Priority // work below this priority may be stopped
	if job.Queue.MayReclaim {
		belowPriority++
	}
	if belowPriority == protocol.PriorityIdle && !job.Spec.Gang() {
		return true
	}
	var total cluster.Resources
	for zone, capacity := range c.zoneCapacities() {
		if job.Spec.Zone != "" && zone != job.Spec.Zone {
			continue
		}
		sum := capacity.belowPriority(belowPriority)
		if sum.Fit(job.Spec, tasks) == tasks {
			return false
		}
		total.Add(sum)
	}
	return job.Spec.OneZone || total.Fit(job.Spec, tasks) < tasks
}

// awaitsUnreportedCapacity reports whether, during a recovery, machines that have not reported
// to this leader yet may have free capacity for the given number of tasks of a job. Nothing is
// preempted for the job until these machines have reported or the silence time-out since the
// failover has passed. Otherwise work would be stopped although enough capacity is free.
func (sc *Scheduler) awaitsUnreportedCapacity(job *cluster.Job, tasks int) bool {
	if !sc.env.Recovering() || sc.state.Now().Sub(sc.state.LeadingSince) > sc.state.SilenceTimeout() {
		return false
	}
	var total cluster.Resources
	for zone, free := range sc.currentCycle().unreportedCapacity() {
		if job.Spec.Zone != "" && zone != job.Spec.Zone {
			continue
		}
		if free.Fit(job.Spec, tasks) == tasks {
			return true
		}
		total.Add(free)
	}
	return !job.Spec.OneZone && total.Fit(job.Spec, tasks) == tasks
}

// unreportedCapacity returns the free capacity in each zone on machines that have not reported
// yet, computed once per cycle.
func (c *cycle) unreportedCapacity() map[protocol.ZoneName]cluster.Resources {
	if c.unreported != nil {
		return c.unreported
	}
	c.unreported = map[protocol.ZoneName]cluster.Resources{}
	c.machinesExamined += len(c.state.OrderedMachines)
	for _, machine := range c.state.OrderedMachines {
		if awaitsHeartbeat(machine) {
			free := c.unreported[machine.Zone]
			free.Add(c.state.FreeResources(machine))
			c.unreported[machine.Zone] = free
		}
	}
	return c.unreported
}

// awaitsHeartbeat reports whether a machine known from a previous leader's record has not
// confirmed this leader's token yet, but may still do so with a heartbeat and then take tasks.
func awaitsHeartbeat(machine *cluster.Machine) bool {
	return machine.Recovered && !machine.Agent.TokenConfirmed && !machine.Agent.LeaseExpired &&
		!machine.Deleting && !machine.Cordoned
}
