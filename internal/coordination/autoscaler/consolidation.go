package autoscaler

import (
	"cmp"
	"maps"
	"slices"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/tuning"
)

// consolidate empties machines that waste most money, if nothing waits and what they
// carry can be saved and fits elsewhere: the paper's defragmentation, for the
// sake of returning machines instead of making larger blocks. The larger the
// fleet, the more machines at once.
func (as *Autoscaler) consolidate() {
	if as.scheduler.Waiting > 0 {
		return
	}
	type choice struct {
		m     *cluster.Machine
		waste float64
	}
	var list []choice
	p := consolidation{left: map[*cluster.Machine]cluster.Resources{}, emptied: map[*cluster.Machine]bool{}}
	for _, machine := range as.state.OrderedMachines {
		machineType := as.state.TypeOf(machine)
		if !as.state.Schedulable(machine) || machine.ReservedFor != nil || len(machine.Attempts) == 0 || machineType.GPUs == 0 {
			continue
		}
		p.targets = append(p.targets, machine)
		if machine.Used.GPUs <= machineType.GPUs*tuning.MaxConsolidationUtilization {
			list = append(list, choice{machine, as.state.PriceOf(machine) * (machineType.GPUs - machine.Used.GPUs)})
		}
	}
	slices.SortStableFunc(list, func(a, b choice) int { return cmp.Compare(b.waste, a.waste) })
	slices.SortStableFunc(p.targets, func(a, b *cluster.Machine) int { return cmp.Compare(b.Used.GPUs, a.Used.GPUs) })
	most := max(1, len(as.state.OrderedMachines)/tuning.ConsolidationFleetDivisor)
	for _, c := range list[:min(len(list), tuning.MaxConsolidationCandidates*most)] {
		if len(p.emptied) == most {
			return
		}
		if _, taken := p.left[c.m]; !taken && c.waste > 0 && as.canBeEmptied(c.m, &p) {
			p.emptied[c.m] = true
			as.log.Info("packing", "machine", c.m.ID, "tasks", len(c.m.Attempts))
			as.env.Drain(c.m)
		}
	}
}

// consolidation is one round of moves: machines that take tasks, the fullest first,
// what they have left after the moves so far, and those that are emptied.
type consolidation struct {
	targets []*cluster.Machine
	left    map[*cluster.Machine]cluster.Resources
	emptied map[*cluster.Machine]bool
}

// canBeEmptied says whether all that a machine carries is worth moving and fits on
// other machines that are not dearer; if so the room is taken there.
func (as *Autoscaler) canBeEmptied(machine *cluster.Machine, p *consolidation) bool {
	taken := map[*cluster.Machine]cluster.Resources{}
	for _, attempt := range cluster.SortedAttemptsOn(machine) {
		spec := attempt.Job.Spec
		rest := spec.EstimateS - as.state.Now().Sub(attempt.RunningSince).Seconds()
		if attempt.Stopping || attempt.RunningSince.IsZero() || spec.Gang() || spec.CheckpointS == 0 || rest < tuning.MinRemainingSecondsToMove {
			return false
		}
		found := false
		for _, o := range p.targets {
			if o == machine || p.emptied[o] || as.state.PriceOf(o) > as.state.PriceOf(machine) || !as.state.Usable(attempt.Job, o) {
				continue
			}
			r, ok := taken[o]
			if !ok {
				if r, ok = p.left[o]; !ok {
					r = as.state.FreeResources(o)
				}
			}
			if r.Fit(spec, 1) == 1 {
				r.AddTasks(spec, -1)
				taken[o], found = r, true
				break
			}
		}
		if !found {
			return false
		}
	}
	maps.Copy(p.left, taken)
	return true
}
