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
	for _, m := range sc.state.OrderedMachines {
		if !m.Cordoned && !sc.state.NotReporting(m) || m.Deleting || !sc.state.ConfirmedAlive(m) {
			continue
		}
		for _, c := range cluster.SortedAttemptsOn(m) {
			j := c.Job
			if !j.Spec.Service() || c.Stopping || !c.Committed || j.Cancelled || c.Orphaned || !m.SpotNotice && !j.FullyPlaced() {
				continue
			}
			if target := sc.successor(c); target != nil {
				sc.log.Info("replica moves", "job", j.ID, "task", c.Key.Index, "from", m.ID, "to", target.ID)
				target.ReserveFor(j, sc.state.Now().Add(tuning.HoldFor))
				sc.env.Stop(c, 0)
			}
		}
	}
}

// successor is the machine that a replica would best move to, nil if there is none.
func (sc *Scheduler) successor(c *cluster.Attempt) *cluster.Machine { return sc.successorMachine(c, 1) }

// successorInOtherZone is the same in other zones alone.
func (sc *Scheduler) successorInOtherZone(c *cluster.Attempt) *cluster.Machine {
	return sc.successorMachine(c, 0)
}

// successorMachine finds a machine for a replica whose own place is given up; here is how
// many of its zone's places it may take in turn.
func (sc *Scheduler) successorMachine(c *cluster.Attempt, here int) *cluster.Machine {
	j := c.Job
	limit, only := sc.state.ZoneLimits(j)
	limit[c.Machine.Zone] = here * (limit[c.Machine.Zone] + 1)
	if j.Spec.OneZone && len(j.Attempts) == 1 {
		only = ""
		for z := range limit {
			limit[z] = 1
		}
	}
	var best *Candidate
	list := sc.ReplicaCandidates(j, only)
	for i := range list {
		if s := &list[i]; s.machine != c.Machine && limit[s.machine.Zone] > 0 && (best == nil || compareForReplica(*s, *best) < 0) {
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
func (sc *Scheduler) ReplicasHavePlacesElsewhere(m *cluster.Machine, heard map[protocol.ZoneName]bool) bool {
	if !slices.ContainsFunc(sc.state.Config.Cluster.Zones, func(z protocol.ZoneName) bool { return z != m.Zone && heard[z] }) {
		return false
	}
	gain := 0
	for _, c := range m.Attempts {
		switch {
		case !c.Job.Spec.Service() || c.Stopping:
		case sc.hasPlaceInOtherZone(c):
			gain++
		default:
			gain--
		}
	}
	return gain > 0
}

// hasPlaceInOtherZone says whether a replica could start in another zone at once, on
// room that is free or that work of lower priority leaves.
func (sc *Scheduler) hasPlaceInOtherZone(c *cluster.Attempt) bool {
	if sc.successorInOtherZone(c) != nil {
		return true
	}
	j := c.Job
	limit, _ := sc.state.ZoneLimits(j)
	for _, m := range sc.currentCycle().schedulable {
		if m.Zone == c.Machine.Zone || limit[m.Zone] == 0 || !sc.state.Suits(j, m) || sc.state.Now().Sub(m.Agent.LastHeartbeat) > sc.state.ReplicaSilenceTimeout() {
			continue
		}
		room := sc.state.FreeResources(m)
		for _, o := range m.Attempts {
			if sc.mayPreempt(o, j) && !o.Job.Spec.Gang() {
				room.AddTasks(o.Job.Spec, 1)
			}
		}
		if room.Fit(j.Spec, 1) > 0 {
			return true
		}
	}
	return false
}
