package scheduler

import (
	"cmp"
	"slices"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// The replicas of a service run until their user cancels it. They take what free capacity
// there is, as the tasks of an array do, but no two of a service on one machine if there
// is a choice, and they leave GPUs the processors and memory that work on them needs.

// placeService finds each waiting replica the best place; it returns how many still wait.
func (sc *Scheduler) placeService(job *cluster.Job) (waiting int) {
	quota := sc.state.TasksWithinLimit(job)
	var choice replicaCandidateList
	for index := range job.Tasks {
		task := &job.Tasks[index]
		if task.LiveAttempts > 0 || sc.state.Now().Before(task.RetryAt) {
			continue
		}
		if waiting > 0 || quota == 0 {
			waiting++
			continue
		}
		if choice.list == nil {
			choice.zones = sc.state.ZoneLimits(job)
			choice.list = sc.replicaCandidates(job, choice.zones.Only)
		}
		best := choice.best()
		if best == nil {
			waiting++
			continue
		}
		sc.assign(job, index, task.LastAttempt+1, best.machine)
		quota--
		choice.zones.Take(job, best.machine.Zone)
		sc.updateAfterPlacement(job, best)
	}
	return waiting
}

// replicaCandidateList is the machines that a service's replicas are placed on one after the
// other.
type replicaCandidateList struct {
	list  []candidate
	zones cluster.ZoneLimits
}

// best is the machine for the next replica, nil if there is none. Those that are full or
// not allowed any more are dropped.
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

// updateAfterPlacement accounts for a replica that was placed on a candidate.
func (sc *Scheduler) updateAfterPlacement(job *cluster.Job, c *candidate) {
	c.tasks = sc.state.FreeResources(c.machine).Fit(job.Spec, 1)
	c.siblingReplicas++
	c.imageLocal = true
	c.starvesGPUs = sc.perGPURequirements.wouldStarveGPUs(job.Spec, c.machine, sc.state.TypeOf(c.machine))
}

// replicaCandidates lists the machines that can take a replica. One whose heartbeat is late
// may be lost with its zone, and its loss is noticed later than that of a machine that
// has replicas.
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

// heartbeatLate says whether a machine's heartbeat is later than a machine with replicas may be.
func heartbeatLate(machine *cluster.Machine, state *cluster.State) bool {
	return state.Now().Sub(machine.Agent.LastHeartbeat) > state.ReplicaSilenceTimeout()
}

// lostMachineRecently says whether a machine of a zone was given up as silent a moment
// ago: the rest of the zone may be lost too and only not missed yet.
func (sc *Scheduler) lostMachineRecently(zone protocol.ZoneName) bool {
	at, ok := sc.machineLostAt[zone]
	return ok && sc.state.Now().Sub(at) < tuning.ZoneSuspicionTime
}

// compareForReplica orders candidates for a replica: no machine under suspicion, none that
// has another replica of the service, none whose GPUs would lack processors or memory;
// then the image, the price, and the fewest free slots.
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
