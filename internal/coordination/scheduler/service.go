package scheduler

import (
	"cmp"
	"slices"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// The replicas of a service run until a user cancels it. Like tasks of an array, they are placed
// one by one on free capacity. Where possible, no two replicas of a service share a machine, and
// machines with GPUs keep enough CPUs and memory free for work on these GPUs.

// placeService places each waiting replica on the best machine and returns how many still wait.
func (sc *Scheduler) placeService(job *cluster.Job) (waiting int) {
	allowed := sc.state.TasksWithinLimit(job)
	var candidates replicaCandidateList
	for index := range job.Tasks {
		task := &job.Tasks[index]
		if task.LiveAttempts > 0 || sc.state.Now().Before(task.RetryAt) {
			continue
		}
		if waiting > 0 || allowed == 0 {
			waiting++
			continue
		}
		if candidates.list == nil {
			candidates.zones = sc.state.ZoneLimits(job)
			candidates.list = sc.replicaCandidates(job, candidates.zones.Only)
		}
		best := candidates.best()
		if best == nil {
			waiting++
			continue
		}
		sc.assign(job, index, task.LastAttempt+1, best.machine)
		allowed--
		candidates.zones.Take(job, best.machine.Zone)
		sc.updateAfterPlacement(job, best)
	}
	return waiting
}

// replicaCandidateList holds the machines on which the replicas of a service are placed one by
// one.
type replicaCandidateList struct {
	list  []candidate
	zones cluster.ZoneLimits
}

// best returns the candidate for the next replica, or nil if there is none. It drops candidates
// that are full or in a zone that may take no more replicas.
func (r *replicaCandidateList) best() *candidate {
	r.list = slices.DeleteFunc(r.list, func(c candidate) bool {
		return c.tasks == 0 || !r.zones.Allow(c.machine.Zone)
	})
	var best *candidate
	for i := range r.list {
		if best == nil || compareForReplica(r.list[i], *best) < 0 {
			best = &r.list[i]
		}
	}
	return best
}

// updateAfterPlacement updates a candidate after a replica was placed on its machine.
func (sc *Scheduler) updateAfterPlacement(job *cluster.Job, c *candidate) {
	c.tasks = sc.state.FreeResources(c.machine).Fit(job.Spec, 1)
	c.siblingReplicas++
	c.imageLocal = true
	c.starvesGPUs = sc.perGPURequirements.wouldStarveGPUs(job.Spec, c.machine, sc.state.TypeOf(c.machine))
}

// replicaCandidates returns the machines that can take a replica. It excludes machines whose
// heartbeat is late: such a machine may be lost together with its zone, and the loss of a
// machine without replicas is detected later than that of a machine with replicas.
func (sc *Scheduler) replicaCandidates(job *cluster.Job, zone protocol.ZoneName) []candidate {
	list := slices.DeleteFunc(sc.currentCycle().candidates(job, zone), func(c candidate) bool { return heartbeatLate(c.machine, sc.state) })
	for i := range list {
		c := &list[i]
		c.starvesGPUs = sc.perGPURequirements.wouldStarveGPUs(job.Spec, c.machine, sc.state.TypeOf(c.machine))
		c.suspected = c.suspected || sc.lostMachineRecently(c.machine.Zone)
		for _, attempt := range c.machine.Attempts {
			if attempt.Job == job {
				c.siblingReplicas++
			}
		}
	}
	return list
}

// heartbeatLate reports whether a machine has been silent for longer than is tolerated of a
// machine that has replicas.
func heartbeatLate(machine *cluster.Machine, state *cluster.State) bool {
	return state.Now().Sub(machine.Agent.LastHeartbeat) > state.ReplicaSilenceTimeout()
}

// lostMachineRecently reports whether a machine of a zone was deleted as unresponsive a short
// time ago. Other machines of the zone may be lost too, although their silence has not been
// noticed yet.
func (sc *Scheduler) lostMachineRecently(zone protocol.ZoneName) bool {
	lostAt, ok := sc.machineLostAt[zone]
	return ok && sc.state.Now().Sub(lostAt) < tuning.ZoneSuspicionTime
}

// compareForReplica orders candidates for a replica. Machines that are not suspected come first,
// then those with the fewest replicas of the service, then those whose GPUs keep enough
// CPUs and memory. Ties go to a machine that has the image, then to the cheaper one,
// then to the one with the fewest free slots.
func compareForReplica(a, b candidate) int {
	return cmp.Or(
		cluster.TrueFirst(b.suspected, a.suspected),
		cmp.Compare(a.siblingReplicas, b.siblingReplicas),
		cluster.TrueFirst(b.starvesGPUs, a.starvesGPUs),
		cluster.TrueFirst(a.imageLocal, b.imageLocal),
		cmp.Compare(a.price, b.price),
		cmp.Compare(a.freeSlots, b.freeSlots),
		cmp.Compare(a.machine.ID, b.machine.ID))
}
