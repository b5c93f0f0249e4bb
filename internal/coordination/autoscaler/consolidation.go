package autoscaler

import (
	"cmp"
	"maps"
	"slices"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/tuning"
)

// consolidation is one round of draining half-empty machines.
type consolidation struct {
	autoscaler *Autoscaler
	candidates []consolidationCandidate // machines that may be drained, the most wasteful first
	targets    []*cluster.Machine       // machines that may take their tasks, the fullest first
	// free is the free capacity that targets have left after the moves planned so far.
	free    map[*cluster.Machine]cluster.Resources
	drained map[*cluster.Machine]bool
}

// consolidationCandidate is a machine that may be drained.
type consolidationCandidate struct {
	machine *cluster.Machine
	waste   float64 // its price times the number of its idle GPUs
}

// consolidate drains the machines that waste the most money, if no job waits and the tasks on
// them can save their progress and fit on other machines. This is defragmentation with the aim
// of deleting machines, not of forming larger free blocks. The larger the fleet, the more
// machines one round drains.
func (as *Autoscaler) consolidate() {
	if as.scheduler.Waiting() > 0 {
		return
	}
	c := as.newConsolidation()
	maxDrained := max(1, len(as.state.OrderedMachines)/tuning.ConsolidationFleetDivisor)
	for _, candidate := range c.candidates[:min(len(c.candidates), tuning.MaxConsolidationCandidates*maxDrained)] {
		if len(c.drained) == maxDrained {
			return
		}
		machine := candidate.machine
		if _, isTarget := c.free[machine]; isTarget || candidate.waste <= 0 || !c.planMoves(machine) {
			continue
		}
		c.drained[machine] = true
		as.log.Info("draining machine for consolidation", "machine", machine.ID, "tasks", len(machine.Attempts))
		as.env.Drain(machine)
	}
}

// newConsolidation lists the machines that may be drained and the machines that may take their
// tasks.
func (as *Autoscaler) newConsolidation() *consolidation {
	c := &consolidation{autoscaler: as, free: map[*cluster.Machine]cluster.Resources{}, drained: map[*cluster.Machine]bool{}}
	for _, machine := range as.state.OrderedMachines {
		machineType := as.state.TypeOf(machine)
		if !as.state.Schedulable(machine) || machine.Trial != nil || machine.ReservedFor != nil || len(machine.Attempts) == 0 || machineType.GPUs == 0 {
			continue
		}
		c.targets = append(c.targets, machine)
		if machine.Used.GPUs <= machineType.GPUs*tuning.MaxConsolidationUtilization {
			waste := as.state.PriceOf(machine) * (machineType.GPUs - machine.Used.GPUs)
			c.candidates = append(c.candidates, consolidationCandidate{machine: machine, waste: waste})
		}
	}
	slices.SortStableFunc(c.candidates, func(a, b consolidationCandidate) int { return cmp.Compare(b.waste, a.waste) })
	slices.SortStableFunc(c.targets, func(a, b *cluster.Machine) int { return cmp.Compare(b.Used.GPUs, a.Used.GPUs) })
	return c
}

// planMoves reports whether every attempt on a machine is worth moving and fits on another
// machine that costs no more. If so, it allocates the capacity on those machines in the plan.
func (c *consolidation) planMoves(machine *cluster.Machine) bool {
	remaining := map[*cluster.Machine]cluster.Resources{}
	for _, attempt := range cluster.SortedAttemptsOn(machine) {
		if !c.autoscaler.worthMoving(attempt) || !c.planMove(attempt, remaining) {
			return false
		}
	}
	maps.Copy(c.free, remaining)
	return true
}

// worthMoving reports whether an attempt can save its progress and is likely to run for long
// enough after the move to justify it.
func (as *Autoscaler) worthMoving(attempt *cluster.Attempt) bool {
	spec := attempt.Job.Spec
	if attempt.Stopping || attempt.RunningSince.IsZero() || spec.Gang() || spec.CheckpointIntervalS == 0 {
		return false
	}
	return spec.EstimateS-as.state.Now().Sub(attempt.RunningSince).Seconds() >= tuning.MinRemainingSecondsToMove
}

// planMove finds a target for an attempt and stores in remaining the capacity left there. It
// reports whether there is such a target.
func (c *consolidation) planMove(attempt *cluster.Attempt, remaining map[*cluster.Machine]cluster.Resources) bool {
	state := c.autoscaler.state
	for _, target := range c.targets {
		if target == attempt.Machine || c.drained[target] || state.PriceOf(target) > state.PriceOf(attempt.Machine) || !state.Eligible(attempt.Job, target) {
			continue
		}
		free := c.freeOn(target, remaining)
		if free.Fit(attempt.Job.Spec, 1) == 1 {
			free.AddTasks(attempt.Job.Spec, -1)
			remaining[target] = free
			return true
		}
	}
	return false
}

// freeOn returns the free capacity of a target after the moves planned so far, including those
// in remaining.
func (c *consolidation) freeOn(target *cluster.Machine, remaining map[*cluster.Machine]cluster.Resources) cluster.Resources {
	if free, ok := remaining[target]; ok {
		return free
	}
	if free, ok := c.free[target]; ok {
		return free
	}
	return c.autoscaler.state.FreeResources(target)
}
