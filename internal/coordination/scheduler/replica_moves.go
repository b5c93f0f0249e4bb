package scheduler

import (
	"slices"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// MoveReplicas moves replicas away from machines that are to go, or whose lease is
// about to lapse: two attempts must never run, so the old one ends first, when there
// is a place for its successor, on a machine that has its image if there is one.
// Of a service one moves at a time, unless the cloud takes the machine away.
func (sc *Scheduler) MoveReplicas() {
	for _, machine := range sc.state.OrderedMachines {
		if !machine.Cordoned && !sc.state.NotReporting(machine) || machine.Deleting || !sc.state.ConfirmedAlive(machine) {
			continue
		}
		for _, attempt := range cluster.SortedAttemptsOn(machine) {
			job := attempt.Job
			if !job.Spec.Service() || attempt.Stopping || !attempt.Committed || job.Cancelled || attempt.Orphaned || !machine.SpotNotice && !job.FullyPlaced() {
				continue
			}
			if target := sc.successor(attempt); target != nil {
				sc.log.Info("replica moves", "job", job.ID, "task", attempt.Key.Index, "from", machine.ID, "to", target.ID)
				target.ReserveFor(job, sc.state.Now().Add(tuning.ReservationTimeout))
				sc.env.Stop(attempt, 0)
			}
		}
	}
}

// successor is the machine that a replica would best move to, nil if there is none.
func (sc *Scheduler) successor(attempt *cluster.Attempt) *cluster.Machine {
	return sc.successorMachine(attempt, 1)
}

// successorInOtherZone is the same in other zones alone.
func (sc *Scheduler) successorInOtherZone(attempt *cluster.Attempt) *cluster.Machine {
	return sc.successorMachine(attempt, 0)
}

// successorMachine finds a machine for a replica whose own place is given up; here is how
// many of its zone's places it may take in turn.
func (sc *Scheduler) successorMachine(attempt *cluster.Attempt, here int) *cluster.Machine {
	job := attempt.Job
	limit, only := sc.state.ZoneLimits(job)
	limit[attempt.Machine.Zone] = here * (limit[attempt.Machine.Zone] + 1)
	if job.Spec.OneZone && len(job.Attempts) == 1 {
		only = ""
		for z := range limit {
			limit[z] = 1
		}
	}
	var best *Candidate
	list := sc.ReplicaCandidates(job, only)
	for i := range list {
		if s := &list[i]; s.machine != attempt.Machine && limit[s.machine.Zone] > 0 && (best == nil || compareForReplica(*s, *best) < 0) {
			best = s
		}
	}
	if best == nil {
		return nil
	}
	return best.machine
}

// ReplicasHavePlacesElsewhere says whether a machine behind a suspected cut is better given up for
// its replicas' sake: another zone is heard, so it is not this controller's own
// network, and most of them have places there that their limits allow. The others are
// back only with the cut's end, and then where a machine is rented for them.
func (sc *Scheduler) ReplicasHavePlacesElsewhere(machine *cluster.Machine, heard map[protocol.ZoneName]bool) bool {
	if !slices.ContainsFunc(sc.state.Config.Cluster.Zones, func(z protocol.ZoneName) bool { return z != machine.Zone && heard[z] }) {
		return false
	}
	gain := 0
	for _, attempt := range machine.Attempts {
		switch {
		case !attempt.Job.Spec.Service() || attempt.Stopping:
		case sc.hasPlaceInOtherZone(attempt):
			gain++
		default:
			gain--
		}
	}
	return gain > 0
}

// hasPlaceInOtherZone says whether a replica could start in another zone at once, on
// room that is free or that work of lower priority leaves.
func (sc *Scheduler) hasPlaceInOtherZone(attempt *cluster.Attempt) bool {
	if sc.successorInOtherZone(attempt) != nil {
		return true
	}
	job := attempt.Job
	limit, _ := sc.state.ZoneLimits(job)
	for _, machine := range sc.currentCycle().schedulable {
		if machine.Zone == attempt.Machine.Zone || limit[machine.Zone] == 0 || !sc.state.Suits(job, machine) || sc.state.Now().Sub(machine.Agent.LastHeartbeat) > sc.state.ReplicaSilenceTimeout() {
			continue
		}
		room := sc.state.FreeResources(machine)
		for _, o := range machine.Attempts {
			if sc.mayPreempt(o, job) && !o.Job.Spec.Gang() {
				room.AddTasks(o.Job.Spec, 1)
			}
		}
		if room.Fit(job.Spec, 1) > 0 {
			return true
		}
	}
	return false
}
