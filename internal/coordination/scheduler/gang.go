package scheduler

import (
	"cmp"
	"slices"

	"github.com/gappond/gappond/internal/buddy"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
)

// Gangs are placed by HDF-B: a gang goes whole into the smallest domain (a machine, then a
// zone, then the region) that has a free block of its order, the one with the least
// residual slots among equals. See docs/design.md.

// placeGang finds a place for every task of a gang, or for none.
func (sc *Scheduler) placeGang(job *cluster.Job) bool {
	if sc.state.TasksWithinLimit(job) < len(job.Tasks) || sc.env.AwaitsRecordSplit(job) {
		return false
	}
	search := gangSearch{cycle: sc.currentCycle(), job: job}
	places := search.findSmallestDomain()
	if places == nil {
		return false
	}
	job.Epoch = nextEpoch(job)
	index := 0
	for _, place := range places {
		for range place.tasks {
			sc.assign(job, index, job.Epoch, place.machine)
			index++
		}
	}
	return true
}

// gangSearch searches for a place for a whole gang.
type gangSearch struct {
	cycle *cycle
	job   *cluster.Job
}

// findSmallestDomain finds machines for the gang within the smallest domain that holds it;
// nil if none does.
func (g gangSearch) findSmallestDomain() []candidate {
	job := g.job
	zones := g.cycle.state.ZoneLimits(job)
	if !job.Spec.Spread || len(job.Tasks) == 1 {
		if place := g.fitOnMachine(zones.Only); place != nil {
			return place
		}
		if places := g.fitInZone(zones.Only); places != nil {
			return places
		}
	}
	if job.Spec.OneZone || job.Spec.Zone != "" {
		return nil
	}
	return g.fitInRegion(zones)
}

// fitOnMachine finds one machine for the gang, if possible one with an aligned block
// of the gang's order.
func (g gangSearch) fitOnMachine(zone protocol.ZoneName) []candidate {
	order := buddy.Order(len(g.job.Tasks) * cluster.TaskSlots(g.job.Spec))
	aligned := func(machine *cluster.Machine) bool { return machine.Slots.FreeBlocks(order) > 0 }
	if place := g.bestMachine(zone, aligned); place != nil {
		return place
	}
	return g.bestMachine(zone, func(*cluster.Machine) bool { return true })
}

// bestMachine finds the best of the machines that hold the gang and that suit.
func (g gangSearch) bestMachine(zone protocol.ZoneName, suits func(*cluster.Machine) bool) []candidate {
	list := g.cycle.candidates(g.job, zone)
	var best *candidate
	for i := range list {
		c := &list[i]
		if c.tasks >= len(g.job.Tasks) && suits(c.machine) && (best == nil || compareByFit(*c, *best) < 0) {
			best = c
		}
	}
	if best == nil {
		return nil
	}
	best.tasks = len(g.job.Tasks)
	return []candidate{*best}
}

// zonePlacement is a gang's placement within one zone.
type zonePlacement struct {
	chosen                []candidate
	aligned               bool // the zone has a free block of the gang's order
	residualTasks         int  // tasks that would fit beside it
	survivingMachineTasks int  // tasks that return to the machines of the broken attempt
	imageLocal            int  // tasks that find their image
	price                 float64
}

// fitInZone finds the zone with a free block of the gang's order and the least
// residual capacity; without one, the zone that holds the gang as a union of smaller
// blocks.
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

// newZonePlacement packs a gang of a size into a zone where so many of its tasks fit.
func newZonePlacement(list []candidate, fits, size int) zonePlacement {
	p := zonePlacement{chosen: pack(list, size), aligned: fits >= 1<<buddy.Order(size), residualTasks: fits - size}
	for _, place := range p.chosen {
		if place.imageLocal {
			p.imageLocal += place.tasks
		}
		if place.surviving {
			p.survivingMachineTasks += place.tasks
		}
		p.price += place.price
	}
	return p
}

// comparePlacements orders placements in different zones, the best first.
func comparePlacements(a, b zonePlacement) int {
	return cmp.Or(
		cmp.Compare(b.survivingMachineTasks, a.survivingMachineTasks),
		cluster.TrueFirst(a.aligned, b.aligned),
		cmp.Compare(a.residualTasks, b.residualTasks),
		cmp.Compare(b.imageLocal, a.imageLocal),
		cmp.Compare(a.price, b.price))
}

// fitInRegion spreads the gang over the fewest zones that its limits allow.
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
	var places []candidate
	left := len(g.job.Tasks)
	for _, zone := range zones {
		tasks := min(left, zone.fits)
		places = append(places, pack(zone.list, tasks)...)
		left -= tasks
	}
	if left > 0 {
		return nil
	}
	return places
}

// nextEpoch is the gang's next epoch: above every attempt of every task.
func nextEpoch(job *cluster.Job) protocol.AttemptNumber {
	next := job.Epoch
	for i := range job.Tasks {
		next = max(next, job.Tasks[i].LastAttempt)
	}
	return next + 1
}
