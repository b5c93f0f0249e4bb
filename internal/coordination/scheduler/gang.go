package scheduler

import (
	"cmp"
	"slices"

	"github.com/gappond/gappond/internal/buddy"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
)

// Gangs are placed by the HDF-B algorithm, see docs/design.md. A gang is placed all-or-nothing in
// the smallest domain (a machine, else a zone, else the region) that has a free block of the
// gang's order. Among equal domains, the one with the fewest residual slots is chosen.

// placeGang places either every task of a gang or none, and reports whether it placed them.
func (sc *Scheduler) placeGang(job *cluster.Job) bool {
	if sc.state.TasksWithinLimit(job) < len(job.Tasks) || sc.env.AwaitsRecordSplit(job) {
		return false
	}
	search := gangSearch{cycle: sc.currentCycle(), job: job}
	chosen := search.findSmallestDomain()
	if chosen == nil {
		return false
	}
	job.Epoch = nextEpoch(job)
	index := 0
	for _, cand := range chosen {
		for range cand.tasks {
			sc.assign(job, index, job.Epoch, cand.machine)
			index++
		}
	}
	return true
}

// gangSearch searches for machines that can take all tasks of a gang.
type gangSearch struct {
	cycle *cycle
	job   *cluster.Job
}

// findSmallestDomain returns machines for the gang within the smallest domain that fits it, or
// nil if no domain does.
func (g gangSearch) findSmallestDomain() []candidate {
	job := g.job
	zones := g.cycle.state.ZoneLimits(job)
	if !job.Spec.Spread || len(job.Tasks) == 1 {
		if onMachine := g.fitOnMachine(zones.Only); onMachine != nil {
			return onMachine
		}
		if inZone := g.fitInZone(zones.Only); inZone != nil {
			return inZone
		}
	}
	if job.Spec.OneZone || job.Spec.Zone != "" {
		return nil
	}
	return g.fitInRegion(zones)
}

// fitOnMachine returns one machine for the whole gang, if possible one that has a free aligned
// block of the gang's order.
func (g gangSearch) fitOnMachine(zone protocol.ZoneName) []candidate {
	order := buddy.Order(len(g.job.Tasks) * cluster.TaskSlots(g.job.Spec))
	aligned := func(machine *cluster.Machine) bool { return machine.Slots.FreeBlocks(order) > 0 }
	if chosen := g.bestMachine(zone, aligned); chosen != nil {
		return chosen
	}
	return g.bestMachine(zone, func(*cluster.Machine) bool { return true })
}

// bestMachine returns the best machine that fits the whole gang and that accept allows, or nil.
func (g gangSearch) bestMachine(zone protocol.ZoneName, accept func(*cluster.Machine) bool) []candidate {
	list := g.cycle.candidates(g.job, zone)
	var best *candidate
	for i := range list {
		c := &list[i]
		if c.tasks >= len(g.job.Tasks) && accept(c.machine) && (best == nil || compareByFit(*c, *best) < 0) {
			best = c
		}
	}
	if best == nil {
		return nil
	}
	best.tasks = len(g.job.Tasks)
	return []candidate{*best}
}

// zonePlacement is a possible placement of a gang within one zone.
type zonePlacement struct {
	chosen                []candidate
	aligned               bool // the zone has a free block of the gang's order: room for 2^order tasks
	residualTasks         int  // more tasks that would fit into the zone
	survivingMachineTasks int  // tasks placed on surviving machines of the broken attempt
	imageLocal            int  // tasks placed on machines that have the image
	price                 float64
}

// fitInZone returns machines within one zone for the gang, or nil. It prefers zones where tasks
// return to surviving machines of a broken attempt, then zones that have a free block of the
// gang's order, then those with the least residual capacity. In a zone without such a block, the
// gang takes several smaller ones.
func (g gangSearch) fitInZone(only protocol.ZoneName) []candidate {
	var best zonePlacement
	for _, zone := range g.cycle.state.Config.Cluster.Zones {
		if only != "" && zone != only {
			continue
		}
		list := g.cycle.candidates(g.job, zone)
		fits := countTasks(list)
		if fits < len(g.job.Tasks) {
			continue
		}
		placement := newZonePlacement(list, fits, len(g.job.Tasks))
		if best.chosen == nil || comparePlacements(placement, best) < 0 {
			best = placement
		}
	}
	return best.chosen
}

// newZonePlacement packs a gang of the given size into a zone. The zone's candidates are list,
// and fits is how many of the gang's tasks they have room for.
func newZonePlacement(list []candidate, fits, size int) zonePlacement {
	p := zonePlacement{chosen: pack(list, size), aligned: fits >= 1<<buddy.Order(size), residualTasks: fits - size}
	for _, cand := range p.chosen {
		if cand.imageLocal {
			p.imageLocal += cand.tasks
		}
		if cand.surviving {
			p.survivingMachineTasks += cand.tasks
		}
		p.price += cand.price
	}
	return p
}

// comparePlacements orders placements in different zones, the best one first.
func comparePlacements(a, b zonePlacement) int {
	return cmp.Or(
		cmp.Compare(b.survivingMachineTasks, a.survivingMachineTasks),
		cluster.TrueFirst(a.aligned, b.aligned),
		cmp.Compare(a.residualTasks, b.residualTasks),
		cmp.Compare(b.imageLocal, a.imageLocal),
		cmp.Compare(a.price, b.price))
}

// fitInRegion spreads the gang over as few zones as its zone limits allow. It returns nil if the
// gang does not fit.
func (g gangSearch) fitInRegion(limits cluster.ZoneLimits) []candidate {
	type zoneCandidates struct {
		list []candidate
		fits int
	}
	var zones []zoneCandidates
	for _, zone := range g.cycle.state.Config.Cluster.Zones {
		list := g.cycle.candidates(g.job, zone)
		zones = append(zones, zoneCandidates{list: list, fits: min(countTasks(list), limits.Remaining[zone])})
	}
	slices.SortStableFunc(zones, func(a, b zoneCandidates) int { return cmp.Compare(b.fits, a.fits) })
	var chosen []candidate
	remaining := len(g.job.Tasks)
	for _, zone := range zones {
		tasks := min(remaining, zone.fits)
		chosen = append(chosen, pack(zone.list, tasks)...)
		remaining -= tasks
	}
	if remaining > 0 {
		return nil
	}
	return chosen
}

// nextEpoch returns the gang's next epoch, which is higher than the number of every attempt of its
// tasks.
func nextEpoch(job *cluster.Job) protocol.AttemptNumber {
	next := job.Epoch
	for i := range job.Tasks {
		next = max(next, job.Tasks[i].LastAttempt)
	}
	return next + 1
}
