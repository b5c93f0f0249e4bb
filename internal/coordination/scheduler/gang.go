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

// PlaceGang finds a place for every task of a gang, or for none.
func (sc *Scheduler) PlaceGang(job *cluster.Job) bool {
	g := len(job.Tasks)
	if sc.state.TasksWithinLimit(job) < g || sc.env.AwaitsRecordSplit(job) {
		return false
	}
	limit, only := sc.state.ZoneLimits(job)
	var best []Candidate
	// The machine level: the whole gang on one machine.
	if !job.Spec.Spread || g == 1 {
		k := buddy.Order(g * cluster.TaskSlots(job.Spec))
		for _, aligned := range []bool{true, false} {
			var fit []Candidate
			for _, s := range sc.candidates(job, only) {
				if s.tasks >= g && (!aligned || s.machine.Slots.Aligned(k) > 0) {
					fit = append(fit, s)
				}
			}
			if len(fit) > 0 {
				best = []Candidate{slices.MinFunc(fit, compareByFit)}
				best[0].tasks = g
				break
			}
		}
	}
	// The zone level.
	if best == nil && (!job.Spec.Spread || g == 1) {
		best = sc.placeInZone(job, g, only)
	}
	// The region.
	if best == nil && !job.Spec.OneZone && job.Spec.Zone == "" {
		best = sc.placeInRegion(job, g, limit)
	}
	if best == nil {
		return false
	}
	job.Epoch = sc.nextEpoch(job)
	index := 0
	for _, s := range best {
		for range s.tasks {
			sc.Assign(job, index, job.Epoch, s.machine)
			index++
		}
	}
	return true
}

// placeInZone finds the zone with a free block of the gang's order and the least
// residual room; without one, the zone that holds the gang as a union of
// smaller blocks.
func (sc *Scheduler) placeInZone(job *cluster.Job, g int, only protocol.ZoneName) []Candidate {
	type choice struct {
		sites     []Candidate
		aligned   bool
		residual  int
		survivors int
		cached    int
		price     float64
	}
	var best *choice
	for _, zone := range sc.state.Config.Cluster.Zones {
		if only != "" && zone != only {
			continue
		}
		list := sc.candidates(job, zone)
		fits := 0
		for _, s := range list {
			fits += s.tasks
		}
		if fits < g {
			continue
		}
		c := &choice{aligned: fits >= 1<<buddy.Order(g), residual: fits - g}
		c.sites = pack(list, g)
		for _, s := range c.sites {
			if s.imageLocal {
				c.cached += s.tasks
			}
			if s.survivor {
				c.survivors += s.tasks
			}
			c.price += s.price
		}
		if best == nil || cmp.Or(cmp.Compare(best.survivors, c.survivors), cluster.TrueFirst(c.aligned, best.aligned), cmp.Compare(c.residual, best.residual),
			cmp.Compare(best.cached, c.cached), cmp.Compare(c.price, best.price)) < 0 {
			best = c
		}
	}
	if best == nil {
		return nil
	}
	return best.sites
}

// placeInRegion spreads a gang over the fewest zones that its limits allow.
func (sc *Scheduler) placeInRegion(job *cluster.Job, g int, limit map[protocol.ZoneName]int) []Candidate {
	type zoneSites struct {
		list []Candidate
		fits int
	}
	var zones []zoneSites
	for _, zone := range sc.state.Config.Cluster.Zones {
		z := zoneSites{list: sc.candidates(job, zone)}
		for _, s := range z.list {
			z.fits += s.tasks
		}
		z.fits = min(z.fits, limit[zone])
		zones = append(zones, z)
	}
	slices.SortStableFunc(zones, func(a, b zoneSites) int { return cmp.Compare(b.fits, a.fits) })
	var taken []Candidate
	for _, z := range zones {
		n := min(g, z.fits)
		taken = append(taken, pack(z.list, n)...)
		g -= n
	}
	if g > 0 {
		return nil
	}
	return taken
}

// nextEpoch is the gang's next epoch: above every attempt of every task.
func (sc *Scheduler) nextEpoch(job *cluster.Job) protocol.AttemptNumber {
	next := job.Epoch
	for i := range job.Tasks {
		next = max(next, job.Tasks[i].LastAttempt)
	}
	return next + 1
}
