package coordination

import (
	"cmp"
	"slices"

	"github.com/gappond/gappond/internal/buddy"
	"github.com/gappond/gappond/internal/protocol"
)

// Placement is HDF-B: a gang goes whole into the smallest domain (a machine,
// then a zone, then the region) that has a free block of its order, the one
// with the least residual room among equals. See docs/design.md.

// placeGang finds a place for every task of a gang, or for none.
func (l *leader) placeGang(j *job) bool {
	g := len(j.tasks)
	if l.teamQuota(j) < g || l.splitFirst(j) {
		return false
	}
	limit, only := l.zoneLimits(j)
	var best []site
	// The machine level: the whole gang on one machine.
	if !j.spec.Spread || g == 1 {
		k := buddy.Order(g * taskSlots(j.spec))
		for _, aligned := range []bool{true, false} {
			var fit []site
			for _, s := range l.sites(j, only) {
				if s.count >= g && (!aligned || s.m.slots.Aligned(k) > 0) {
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
	if best == nil && (!j.spec.Spread || g == 1) {
		best = l.zonePlace(j, g, only)
	}
	// The region.
	if best == nil && !j.spec.OneZone && j.spec.Zone == "" {
		best = l.regionPlace(j, g, limit)
	}
	if best == nil {
		return false
	}
	j.epoch = l.nextAttempt(j)
	index := 0
	for _, s := range best {
		for range s.count {
			l.assign(j, index, j.epoch, s.m)
			index++
		}
	}
	return true
}

// zonePlace finds the zone with a free block of the gang's order and the least
// residual room; without one, the zone that holds the gang as a union of
// smaller blocks.
func (l *leader) zonePlace(j *job, g int, only protocol.ZoneName) []site {
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
		if best == nil || cmp.Or(cmp.Compare(best.survivors, c.survivors), trueFirst(c.aligned, best.aligned), cmp.Compare(c.residual, best.residual),
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
func (l *leader) regionPlace(j *job, g int, limit map[protocol.ZoneName]int) []site {
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
func (l *leader) placeArray(j *job, warm bool) (waiting int) {
	quota := l.teamQuota(j)
	if j.isOverdue(l.n.now) {
		quota = min(quota, 1)
	}
	var list []site
	var limit map[protocol.ZoneName]int
	var only protocol.ZoneName
	next := 0 // sites before this one are full or not allowed
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.done || t.liveAttempts > 0 {
			continue
		}
		if waiting > 0 || quota == 0 {
			waiting++
			continue
		}
		if list == nil {
			limit, only = l.zoneLimits(j)
			list = l.sites(j, only)
			if warm {
				list = slices.DeleteFunc(list, func(s site) bool { return !s.cached })
			}
			slices.SortFunc(list, byImage)
		}
		// A site that was taken stays the best until it is full: it has the
		// image then, and less room left.
		for next < len(list) && (list[next].count == 0 || limit[list[next].m.zone] == 0 || only != "" && list[next].m.zone != only) {
			next++
		}
		if next == len(list) {
			waiting++
			continue
		}
		s := &list[next]
		l.assign(j, i, t.lastAttempt+1, s.m)
		quota--
		limit[s.m.zone]--
		if j.spec.OneZone {
			only = s.m.zone
		}
		s.count = l.freeResources(s.m).fit(j.spec, len(j.tasks))
	}
	return waiting
}

// nextAttempt is the gang's next epoch: above every attempt of every task.
func (l *leader) nextAttempt(j *job) protocol.AttemptNumber {
	next := j.epoch
	for i := range j.tasks {
		next = max(next, j.tasks[i].lastAttempt)
	}
	return next + 1
}

// assign plans a task onto a machine. Its start leaves once that is committed.
func (l *leader) assign(j *job, index int, attempt protocol.AttemptNumber, m *machine) {
	t := &j.tasks[index]
	c := l.addAttempt(j, index, attempt, m, m.incarnation)
	t.lastAttempt, t.active, j.everPlaced = attempt, c, true
	l.n.log.Debug("task placed", "job", j.id, "task", index, "attempt", attempt, "machine", m.id)
	if m.hold == j {
		m.release()
	}
	if attempt > 1 {
		l.n.metrics.Repairs++
	}
	l.touch(j, j.recordOf(index))
}
