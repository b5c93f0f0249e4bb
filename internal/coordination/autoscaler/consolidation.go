package autoscaler

import (
	"cmp"
	"maps"
	"slices"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/tuning"
)

// consolidation is one round of emptying half-empty machines.
type consolidation struct {
	autoscaler *Autoscaler
	candidates []consolidationCandidate // machines that may be emptied
	targets    []*cluster.Machine       // machines that take tasks, the fullest first
	// free is what targets have left after the moves so far.
	free    map[*cluster.Machine]cluster.Resources
	drained map[*cluster.Machine]bool
}

// consolidationCandidate is a machine that may be emptied.
type consolidationCandidate struct {
	machine *cluster.Machine
	waste   float64 // the price of its idle GPUs
}

// consolidate empties machines that waste most money, if nothing waits and what they
// carry can be saved and fits elsewhere: the paper's defragmentation, for the
// sake of deleting machines instead of making larger blocks. The larger the
// fleet, the more machines at once.
func (as *Autoscaler) consolidate() {
	if as.scheduler.Waiting() > 0 {
		return
	}
	c := as.newConsolidation()
	most := max(1, len(as.state.OrderedMachines)/tuning.ConsolidationFleetDivisor)
	for _, candidate := range c.candidates[:min(len(c.candidates), tuning.MaxConsolidationCandidates*most)] {
		if len(c.drained) == most {
			return
		}
		machine := candidate.machine
		if _, isTarget := c.free[machine]; isTarget || candidate.waste <= 0 || !c.planMoves(machine) {
			continue
		}
		c.drained[machine] = true
		as.log.Info("consolidation", "machine", machine.ID, "tasks", len(machine.Attempts))
		as.env.Drain(machine)
	}
}

// newConsolidation lists the machines that may be emptied, the most wasteful first, and
// those that may take their tasks.
func (as *Autoscaler) newConsolidation() *consolidation {
	c := &consolidation{autoscaler: as, free: map[*cluster.Machine]cluster.Resources{}, drained: map[*cluster.Machine]bool{}}
	for _, machine := range as.state.OrderedMachines {
		machineType := as.state.TypeOf(machine)
		if !as.state.Schedulable(machine) || machine.ReservedFor != nil || len(machine.Attempts) == 0 || machineType.GPUs == 0 {
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

// planMoves says whether all that a machine carries is worth moving and fits on other
// machines that are not dearer; if so the capacity is taken there.
func (c *consolidation) planMoves(machine *cluster.Machine) bool {
	taken := map[*cluster.Machine]cluster.Resources{}
	for _, attempt := range cluster.SortedAttemptsOn(machine) {
		if !c.autoscaler.worthMoving(attempt) || !c.planMove(attempt, taken) {
			return false
		}
	}
	maps.Copy(c.free, taken)
	return true
}

// worthMoving says whether an attempt can save its work and is likely to run on for long
// enough.
func (as *Autoscaler) worthMoving(attempt *cluster.Attempt) bool {
	spec := attempt.Job.Spec
	if attempt.Stopping || attempt.RunningSince.IsZero() || spec.Gang() || spec.CheckpointIntervalS == 0 {
		return false
	}
	return spec.EstimateS-as.state.Now().Sub(attempt.RunningSince).Seconds() >= tuning.MinRemainingSecondsToMove
}

// planMove finds a target for an attempt and notes in taken what is left there.
func (c *consolidation) planMove(attempt *cluster.Attempt, taken map[*cluster.Machine]cluster.Resources) bool {
	state := c.autoscaler.state
	for _, target := range c.targets {
		if target == attempt.Machine || c.drained[target] || state.PriceOf(target) > state.PriceOf(attempt.Machine) || !state.Eligible(attempt.Job, target) {
			continue
		}
		free := c.freeOn(target, taken)
		if free.Fit(attempt.Job.Spec, 1) == 1 {
			free.AddTasks(attempt.Job.Spec, -1)
			taken[target] = free
			return true
		}
	}
	return false
}

// freeOn is what a target has left after the moves so far, those in taken included.
func (c *consolidation) freeOn(target *cluster.Machine, taken map[*cluster.Machine]cluster.Resources) cluster.Resources {
	if free, ok := taken[target]; ok {
		return free
	}
	if free, ok := c.free[target]; ok {
		return free
	}
	return c.autoscaler.state.FreeResources(target)
}
