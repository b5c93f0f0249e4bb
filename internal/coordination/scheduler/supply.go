package scheduler

import (
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
)

// Bounds on what preemption can achieve, from sums over whole zones: they spare most jobs
// a search over every machine.

// zoneCapacity is the most that a zone could give to a job: what is free or about to be,
// and what runs there, by its priority.
type zoneCapacity struct {
	free        cluster.Resources
	preemptible [protocol.PriorityCritical + 1]cluster.Resources
}

// zoneCapacities adds up what the zones could give, once in a cycle.
func (c *cycle) zoneCapacities() map[protocol.ZoneName]*zoneCapacity {
	if c.capacity != nil {
		return c.capacity
	}
	c.capacity = map[protocol.ZoneName]*zoneCapacity{}
	c.machinesExamined += len(c.schedulable)
	for _, machine := range c.schedulable {
		supply := c.capacity[machine.Zone]
		if supply == nil {
			supply = &zoneCapacity{}
			c.capacity[machine.Zone] = supply
		}
		supply.addMachine(machine, c.state.FreeResources(machine))
	}
	return c.capacity
}

// addMachine adds a machine and what is free there.
func (s *zoneCapacity) addMachine(machine *cluster.Machine, free cluster.Resources) {
	s.free.Add(free)
	for _, attempt := range machine.Attempts {
		if attempt.Stopping {
			s.free.AddTasks(attempt.Job.Spec, 1)
		} else {
			s.preemptible[attempt.Job.Priority].AddTasks(attempt.Job.Spec, 1)
		}
	}
}

// belowPriority is what the zone could give if all work below a priority stopped.
func (s *zoneCapacity) belowPriority(priority protocol.Priority) cluster.Resources {
	sum := s.free
	for p := protocol.PriorityIdle; p < priority && int(p) < len(s.preemptible); p++ {
		sum.Add(s.preemptible[p])
	}
	return sum
}

// preemptionImpossible says that no search can free capacity for so many tasks of a job:
// all that may be stopped for it, whoever runs it, and all that is free are not enough.
// With the machines full of work that may not be preempted, which is when most jobs
// wait, this spares examining every machine for each of them.
func (c *cycle) preemptionImpossible(job *cluster.Job, tasks int) bool {
	if !job.Spec.Gang() {
		tasks = 1
	}
	below := job.Priority // of the work that may be stopped
	if job.Queue.MayReclaim {
		below++
	}
	if below == protocol.PriorityIdle && !job.Spec.Gang() {
		return true
	}
	var all cluster.Resources
	for zone, supply := range c.zoneCapacities() {
		if job.Spec.Zone != "" && zone != job.Spec.Zone {
			continue
		}
		sum := supply.belowPriority(below)
		if sum.Fit(job.Spec, tasks) == tasks {
			return false
		}
		all.Add(sum)
	}
	return job.Spec.OneZone || all.Fit(job.Spec, tasks) < tasks
}

// awaitsUnreportedCapacity says whether, in a recovery, machines that have yet to report to
// this leader may have free capacity for so many tasks of a job. Nothing is stopped for it
// until they have reported, or could have: else work would be stopped beside capacity
// that is free.
func (sc *Scheduler) awaitsUnreportedCapacity(job *cluster.Job, tasks int) bool {
	if !sc.env.Recovering() || sc.state.Now().Sub(sc.state.LeadingSince) > sc.state.SilenceTimeout() {
		return false
	}
	var all cluster.Resources
	for zone, free := range sc.currentCycle().unreportedCapacity() {
		if job.Spec.Zone != "" && zone != job.Spec.Zone {
			continue
		}
		if free.Fit(job.Spec, tasks) == tasks {
			return true
		}
		all.Add(free)
	}
	return !job.Spec.OneZone && all.Fit(job.Spec, tasks) == tasks
}

// unreportedCapacity adds up what is free on machines that have yet to report, once in a
// cycle.
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

// awaitsHeartbeat says whether a machine of a predecessor may yet send a heartbeat and take tasks.
func awaitsHeartbeat(machine *cluster.Machine) bool {
	return machine.Recovered && !machine.Agent.TokenConfirmed && !machine.Agent.LeaseExpired &&
		!machine.Deleting && !machine.Cordoned
}
