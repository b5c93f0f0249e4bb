package coordination

import (
	"cmp"
	"slices"

	"github.com/gappond/gappond/internal/buddy"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
)

// Placement is HDF-B: a gang goes whole into the smallest domain (a machine,
// then a zone, then the region) that has a free block of its order, the one
// with the least residual room among equals. See docs/design.md.

// placeGang finds a place for every task of a gang, or for none.
func (l *leader) placeGang(j *cluster.Job) bool {
	g := len(j.Tasks)
	if l.cluster.TasksWithinLimit(j) < g || l.splitFirst(j) {
		return false
	}
	limit, only := l.cluster.ZoneLimits(j)
	var best []site
	// The machine level: the whole gang on one machine.
	if !j.Spec.Spread || g == 1 {
		k := buddy.Order(g * cluster.TaskSlots(j.Spec))
		for _, aligned := range []bool{true, false} {
			var fit []site
			for _, s := range l.sites(j, only) {
				if s.count >= g && (!aligned || s.m.Slots.Aligned(k) > 0) {
					fit = append(fit, s)
				}
			}
			if len(fit) > 0 {
				best = []site{slices.MinFunc(fit, bySite)}
				best[0].count = g
				break
			}
		}
	}
	// The zone level.
	if best == nil && (!j.Spec.Spread || g == 1) {
		best = l.zonePlace(j, g, only)
	}
	// The region.
	if best == nil && !j.Spec.OneZone && j.Spec.Zone == "" {
		best = l.regionPlace(j, g, limit)
	}
	if best == nil {
		return false
	}
	j.Epoch = l.nextAttempt(j)
	index := 0
	for _, s := range best {
		for range s.count {
			l.assign(j, index, j.Epoch, s.m)
			index++
		}
	}
	return true
}

// zonePlace finds the zone with a free block of the gang's order and the least
// residual room; without one, the zone that holds the gang as a union of
// smaller blocks.
func (l *leader) zonePlace(j *cluster.Job, g int, only protocol.ZoneName) []site {
	type choice struct {
		sites     []site
		aligned   bool
		residual  int
		survivors int
		cached    int
		price     float64
	}
	var best *choice
	for _, zone := range l.n.cfg.Cluster.Zones {
		if only != "" && zone != only {
			continue
		}
		list := l.sites(j, zone)
		fits := 0
		for _, s := range list {
			fits += s.count
		}
		if fits < g {
			continue
		}
		c := &choice{aligned: fits >= 1<<buddy.Order(g), residual: fits - g}
		c.sites = fill(list, g)
		for _, s := range c.sites {
			if s.cached {
				c.cached += s.count
			}
			if s.survivor {
				c.survivors += s.count
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

// regionPlace spreads a gang over the fewest zones that its limits allow.
func (l *leader) regionPlace(j *cluster.Job, g int, limit map[protocol.ZoneName]int) []site {
	type zoneSites struct {
		list []site
		fits int
	}
	var zones []zoneSites
	for _, zone := range l.n.cfg.Cluster.Zones {
		z := zoneSites{list: l.sites(j, zone)}
		for _, s := range z.list {
			z.fits += s.count
		}
		z.fits = min(z.fits, limit[zone])
		zones = append(zones, z)
	}
	slices.SortStableFunc(zones, func(a, b zoneSites) int { return cmp.Compare(b.fits, a.fits) })
	var taken []site
	for _, z := range zones {
		n := min(g, z.fits)
		taken = append(taken, fill(z.list, n)...)
		g -= n
	}
	if g > 0 {
		return nil
	}
	return taken
}

// placeArray gives each waiting task the first free room; it returns how many
// still wait. warm: only on machines that have its image.
func (l *leader) placeArray(j *cluster.Job, warm bool) (waiting int) {
	quota := l.cluster.TasksWithinLimit(j)
	if j.Overdue(l.n.now) {
		quota = min(quota, 1)
	}
	var list []site
	var limit map[protocol.ZoneName]int
	var only protocol.ZoneName
	next := 0 // sites before this one are full or not allowed
	for i := range j.Tasks {
		t := &j.Tasks[i]
		if t.Done || t.LiveAttempts > 0 {
			continue
		}
		if waiting > 0 || quota == 0 {
			waiting++
			continue
		}
		if list == nil {
			limit, only = l.cluster.ZoneLimits(j)
			list = l.sites(j, only)
			if warm {
				list = slices.DeleteFunc(list, func(s site) bool { return !s.cached })
			}
			slices.SortFunc(list, byImage)
		}
		// A site that was taken stays the best until it is full: it has the
		// image then, and less room left.
		for next < len(list) && (list[next].count == 0 || limit[list[next].m.Zone] == 0 || only != "" && list[next].m.Zone != only) {
			next++
		}
		if next == len(list) {
			waiting++
			continue
		}
		s := &list[next]
		l.assign(j, i, t.LastAttempt+1, s.m)
		quota--
		limit[s.m.Zone]--
		if j.Spec.OneZone {
			only = s.m.Zone
		}
		s.count = l.cluster.FreeResources(s.m).Fit(j.Spec, len(j.Tasks))
	}
	return waiting
}

// nextAttempt is the gang's next epoch: above every attempt of every task.
func (l *leader) nextAttempt(j *cluster.Job) protocol.AttemptNumber {
	next := j.Epoch
	for i := range j.Tasks {
		next = max(next, j.Tasks[i].LastAttempt)
	}
	return next + 1
}

// assign plans a task onto a machine. Its start leaves once that is committed.
func (l *leader) assign(j *cluster.Job, index int, attempt protocol.AttemptNumber, m *cluster.Machine) {
	t := &j.Tasks[index]
	c := l.cluster.AddAttempt(j, index, attempt, m, m.Agent.Incarnation)
	t.LastAttempt, t.Active, j.EverPlaced = attempt, c, true
	l.n.log.Debug("task placed", "job", j.ID, "task", index, "attempt", attempt, "machine", m.ID)
	if m.ReservedFor == j {
		m.ReleaseReservation()
	}
	if attempt > 1 {
		l.n.metrics.Repairs++
	}
	l.touch(j, j.RecordOf(index))
}
