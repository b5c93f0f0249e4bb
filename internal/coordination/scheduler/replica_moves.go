package scheduler

import (
	"slices"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// MoveReplicas moves replicas off machines that are cordoned or whose agent's lease is about to
// expire. Two attempts of a replica must never run at the same time, so the old attempt is
// stopped before its replacement starts, but only once there is a machine for the replacement,
// if possible one that has the image. Replicas of a service move one at a time, unless the cloud
// is about to preempt the spot machine.
func (sc *Scheduler) MoveReplicas() {
	for _, machine := range sc.state.OrderedMachines {
		if !replicasShouldLeave(machine, sc.state) {
			continue
		}
		for _, attempt := range cluster.SortedAttemptsOn(machine) {
			if mayMoveReplica(attempt) {
				sc.moveReplica(attempt)
			}
		}
	}
}

// replicasShouldLeave reports whether the replicas on a machine should move to other machines
// while its agent can still stop them in an orderly way.
func replicasShouldLeave(machine *cluster.Machine, state *cluster.State) bool {
	return (machine.Cordoned || state.NotReporting(machine)) && !machine.Deleting && state.ConfirmedAlive(machine)
}

// mayMoveReplica reports whether an attempt is a replica that may be moved now.
func mayMoveReplica(attempt *cluster.Attempt) bool {
	job := attempt.Job
	if !job.Spec.Service() || job.Cancelled {
		return false
	}
	if attempt.Stopping || !attempt.Committed || attempt.Orphaned {
		return false
	}
	return attempt.Machine.SpotNotice || job.FullyPlaced()
}

// moveReplica reserves a machine for a replica's replacement, if there is one, and then stops the
// replica.
func (sc *Scheduler) moveReplica(attempt *cluster.Attempt) {
	target := sc.replacementMachine(attempt, anyZone)
	if target == nil {
		return
	}
	sc.log.Info("moving replica", "job", attempt.Job.ID, "task", attempt.Key.Index, "attempt", attempt.Key.Number,
		"machine", attempt.Machine.ID, "target", target.ID)
	target.ReserveFor(attempt.Job, sc.state.Now().Add(tuning.ReservationTimeout))
	sc.env.Stop(attempt, 0)
}

// replacementZone says in which zones the replacement of a replica may be placed.
type replacementZone int

const (
	anyZone       replacementZone = iota // including the replica's own zone, where it makes room for one
	otherZoneOnly                        // excluding the replica's own zone
)

// replacementMachine returns the best machine for the replacement of a replica, or nil if there
// is none.
func (sc *Scheduler) replacementMachine(attempt *cluster.Attempt, where replacementZone) *cluster.Machine {
	job := attempt.Job
	limits := sc.state.ZoneLimits(job)
	if where == otherZoneOnly {
		limits.Remaining[attempt.Machine.Zone] = 0
	} else {
		limits.Remaining[attempt.Machine.Zone]++
	}
	if job.Spec.OneZone && len(job.Attempts) == 1 {
		limits.Only = "" // moving its only replica releases the service from the zone that it was bound to
		for zone := range limits.Remaining {
			limits.Remaining[zone] = 1
		}
	}
	var best *candidate
	list := sc.replicaCandidates(job, limits.Only)
	for i := range list {
		c := &list[i]
		if c.machine != attempt.Machine && limits.Remaining[c.machine.Zone] > 0 && (best == nil || compareForReplica(*c, *best) < 0) {
			best = c
		}
	}
	if best == nil {
		return nil
	}
	return best.machine
}

// MostReplicasFitElsewhere reports whether a machine behind a suspected partition should be deleted
// so that its replicas restart elsewhere. That is so if another zone is reachable, which shows
// that the fault is not in this controller's own network, and if most of the replicas fit into
// other zones within their limits. The remaining replicas are lost until the partition ends,
// and then until a machine has booted for them.
func (sc *Scheduler) MostReplicasFitElsewhere(machine *cluster.Machine, reachable map[protocol.ZoneName]bool) bool {
	isOtherReachableZone := func(zone protocol.ZoneName) bool { return zone != machine.Zone && reachable[zone] }
	if !slices.ContainsFunc(sc.state.Config.Cluster.Zones, isOtherReachableZone) {
		return false
	}
	surplus := 0
	for _, attempt := range machine.Attempts {
		switch {
		case !attempt.Job.Spec.Service() || attempt.Stopping:
		case sc.fitsInOtherZone(attempt):
			surplus++
		default:
			surplus--
		}
	}
	return surplus > 0
}

// fitsInOtherZone reports whether a replica could start in another zone, on capacity that is
// free or that preemption would free.
func (sc *Scheduler) fitsInOtherZone(attempt *cluster.Attempt) bool {
	if sc.replacementMachine(attempt, otherZoneOnly) != nil {
		return true
	}
	job := attempt.Job
	limits := sc.state.ZoneLimits(job)
	for _, machine := range sc.currentCycle().schedulable {
		if machine.Zone == attempt.Machine.Zone || limits.Remaining[machine.Zone] == 0 || !sc.state.MeetsConstraints(job, machine) || heartbeatLate(machine, sc.state) {
			continue
		}
		free := capacityAfterPreemption(machine, job, sc.state)
		if free.Fit(job.Spec, 1) > 0 {
			return true
		}
	}
	return false
}

// capacityAfterPreemption returns a machine's free capacity after everything is stopped that may
// be preempted for a job. Tasks of gangs are not counted, because a gang only stops as a whole.
func capacityAfterPreemption(machine *cluster.Machine, job *cluster.Job, state *cluster.State) cluster.Resources {
	free := state.FreeResources(machine)
	for _, attempt := range machine.Attempts {
		if mayPreempt(attempt, job, state.Quotas) && !attempt.Job.Spec.Gang() {
			free.AddTasks(attempt.Job.Spec, 1)
		}
	}
	return free
}
