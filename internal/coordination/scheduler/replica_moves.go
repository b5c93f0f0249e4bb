package scheduler

import (
	"slices"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// MoveReplicas moves replicas away from machines that are to go, or whose lease is
// about to expire: two attempts must never run, so the old one ends first, when there
// is a place for its successor, on a machine that has its image if there is one.
// Of a service one moves at a time, unless the cloud takes the machine away.
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

// replicasShouldLeave says whether the replicas on a machine should go elsewhere while it can
// still end them in good order.
func replicasShouldLeave(machine *cluster.Machine, state *cluster.State) bool {
	return (machine.Cordoned || state.NotReporting(machine)) && !machine.Deleting && state.ConfirmedAlive(machine)
}

// mayMoveReplica says whether an attempt is a replica that may be moved now.
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

// moveReplica ends a replica once a place for its successor is reserved.
func (sc *Scheduler) moveReplica(attempt *cluster.Attempt) {
	target := sc.replacementMachine(attempt, anyZone)
	if target == nil {
		return
	}
	sc.log.Info("replica moves", "job", attempt.Job.ID, "task", attempt.Key.Index, "attempt", attempt.Key.Number,
		"machine", attempt.Machine.ID, "target", target.ID)
	target.ReserveFor(attempt.Job, sc.state.Now().Add(tuning.ReservationTimeout))
	sc.env.Stop(attempt, 0)
}

// replacementZone says where the successor of a replica may be.
type replacementZone int

const (
	anyZone       replacementZone = iota // also in the replica's own zone, in whose place it comes
	otherZoneOnly                        // not there
)

// replacementMachine finds the best machine for a replica whose own place is given up; nil if
// there is none.
func (sc *Scheduler) replacementMachine(attempt *cluster.Attempt, where replacementZone) *cluster.Machine {
	job := attempt.Job
	limits := sc.state.ZoneLimits(job)
	if where == otherZoneOnly {
		limits.Remaining[attempt.Machine.Zone] = 0
	} else {
		limits.Remaining[attempt.Machine.Zone]++
	}
	if job.Spec.OneZone && len(job.Attempts) == 1 {
		limits.Only = "" // with this replica the service leaves the zone that it was bound to
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

// MostReplicasFitElsewhere says whether a machine behind a suspected partition is better given up for
// its replicas' sake: another zone is heard, so it is not this controller's own
// network, and most of them have places there that their limits allow. The others are
// back only with the partition's end, and then where a machine boots for them.
func (sc *Scheduler) MostReplicasFitElsewhere(machine *cluster.Machine, heard map[protocol.ZoneName]bool) bool {
	otherHeard := func(zone protocol.ZoneName) bool { return zone != machine.Zone && heard[zone] }
	if !slices.ContainsFunc(sc.state.Config.Cluster.Zones, otherHeard) {
		return false
	}
	gain := 0
	for _, attempt := range machine.Attempts {
		switch {
		case !attempt.Job.Spec.Service() || attempt.Stopping:
		case sc.fitsInOtherZone(attempt):
			gain++
		default:
			gain--
		}
	}
	return gain > 0
}

// fitsInOtherZone says whether a replica could start in another zone at once, on
// capacity that is free or that work of lower priority leaves.
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

// capacityAfterPreemption is a machine's free capacity once all has stopped that may be
// preempted for a job and can stop alone, which a task of a gang cannot.
func capacityAfterPreemption(machine *cluster.Machine, job *cluster.Job, state *cluster.State) cluster.Resources {
	free := state.FreeResources(machine)
	for _, attempt := range machine.Attempts {
		if mayPreempt(attempt, job, state.Quotas) && !attempt.Job.Spec.Gang() {
			free.AddTasks(attempt.Job.Spec, 1)
		}
	}
	return free
}
