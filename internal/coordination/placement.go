package coordination

import (
	"cmp"
	"math"
	"slices"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// Placement is HDF-B: a gang goes whole into the smallest domain (a machine,
// then a zone, then the region) that has a free block of its order, the one
// with the least residual room among equals. See docs/design.md.

// machineSlots is the number of slots on a machine: one a GPU or, without
// GPUs, one a fixed share of processors.
func machineSlots(t *protocol.MachineType) int {
	if t.GPUs >= 1 {
		return int(t.GPUs)
	}
	return max(1, int(t.CPUs/tuning.SlotCPUs))
}

// taskSlots is the number of slots that a task takes.
func taskSlots(s *protocol.Job) int {
	if s.GPUs > 0 {
		return int(math.Ceil(s.GPUs))
	}
	return max(1, int(math.Ceil(s.CPUs/tuning.SlotCPUs)))
}

// room is what a machine has left.
type room struct{ cpus, gpus, memory float64 }

func (r *room) plus(o room) {
	r.cpus += o.cpus
	r.gpus += o.gpus
	r.memory += o.memory
}

func (r *room) add(s *protocol.Job, n int) {
	r.cpus += s.CPUs * float64(n)
	r.gpus += s.GPUs * float64(n)
	r.memory += s.MemoryGB * float64(n)
}

// holds is how many tasks of the job fit, at most limit.
func (r room) holds(s *protocol.Job, limit int) int {
	n := float64(limit)
	for _, p := range [][2]float64{{r.cpus, s.CPUs}, {r.gpus, s.GPUs}, {r.memory, s.MemoryGB}} {
		if p[1] > 0 {
			n = min(n, math.Floor((p[0]+amountSlack)/p[1]))
		}
	}
	return max(0, int(n))
}

func fullRoom(t *protocol.MachineType) room { return room{t.CPUs, t.GPUs, t.MemoryGB} }

// left is the machine's free room.
func (l *leader) left(m *machine) room {
	t := l.kind(m)
	if t == nil {
		return room{}
	}
	return room{t.CPUs - m.cpus, t.GPUs - m.gpus, t.MemoryGB - m.memory}
}

// roomy says whether a machine has anything left to give.
func (m *machine) roomy(t *protocol.MachineType) bool {
	return m.cpus < t.CPUs && m.memory < t.MemoryGB && (t.GPUs == 0 || m.gpus < t.GPUs)
}

// open says whether a machine takes new tasks at all.
func (l *leader) open(m *machine) bool {
	return m.recorded && !l.deaf(m) && !l.mute(m) && !m.closed && !m.deleting && l.alive(m) && l.kind(m) != nil
}

// allows says whether the job may use machines of this type, zone and kind.
func allows(s *protocol.Job, typeName, zone string, spot bool) bool {
	return protocol.Allowed(s.Types, typeName) && (s.Zone == "" || s.Zone == zone) && (s.Spot || !spot)
}

// usable says whether a job may start on a machine now.
func (l *leader) usable(j *job, m *machine) bool { return l.open(m) && l.suits(j, m) }

// suits says the same of a machine that is known to be open.
func (l *leader) suits(j *job, m *machine) bool {
	return (m.hold == nil || m.hold == j) && allows(j.spec, m.typeName, m.zone, m.spot) && !l.avoids(j, m)
}

// avoids says whether a job's task was refused or failed on a machine lately.
func (l *leader) avoids(j *job, m *machine) bool {
	return len(j.avoid) > 0 && l.n.now.Before(j.avoid[m.id])
}

// zoneLimits says how many more tasks of the job each zone may take, given
// where its tasks may be at this moment. The second result is the only zone
// left, if one_zone has been decided.
func (l *leader) zoneLimits(j *job) (limit map[string]int, only string) {
	limit = map[string]int{}
	for _, c := range j.copies {
		limit[c.m.zone]++
		only = c.m.zone
	}
	most := len(j.tasks)
	if j.spec.Spread {
		// A copy on a machine of no known zone may be in any.
		most = max(0, (len(j.tasks)+1)/2-limit[""])
	}
	if j.spec.OneZone && (len(limit) > 1 || limit[""] > 0) {
		// Old copies that may still be there disagree, or nobody knows where they
		// are: none may join them until all but one zone's are proven gone.
		most = 0
	}
	for _, z := range l.n.cfg.Cluster.Zones {
		limit[z] = max(0, most-limit[z])
	}
	if !j.spec.OneZone {
		only = ""
	}
	return limit, only
}

// teamRoom is how many more tasks of the job its team's limit allows.
func (l *leader) teamRoom(j *job) int {
	t := l.teams[j.spec.Team]
	if t == nil {
		return 0
	}
	n := len(j.tasks)
	if t.maxGPUs > 0 && j.spec.GPUs > 0 {
		n = min(n, int(math.Floor((t.maxGPUs-t.gpus+amountSlack)/j.spec.GPUs)))
	}
	if t.maxCPUs > 0 && j.spec.CPUs > 0 {
		n = min(n, int(math.Floor((t.maxCPUs-t.cpus+amountSlack)/j.spec.CPUs)))
	}
	return max(0, n)
}

// site is a machine that could take some tasks of a job.
type site struct {
	m        *machine
	count    int  // tasks that fit
	residual int  // slots left over once they are placed
	suspect  bool // a task has failed there and none has succeeded since
	mates    int  // replicas of the same service there
	crowded  bool // one more task without GPUs would leave its GPUs idle
	survivor bool // held a task of the job's broken attempt
	cached   bool
	price    float64
}

// sites lists the machines that can take tasks of a job, the best first.
func (l *leader) sites(j *job, zone string) []site {
	var list []site
	p := l.present()
	machines := p.vacant
	if j.spec.GPUs == 0 {
		machines = p.open // it may fit beside tasks that have all of a machine's GPUs
	}
	p.looks += len(machines)
	for _, m := range machines {
		if zone != "" && m.zone != zone || !l.suits(j, m) {
			continue
		}
		if n := l.left(m).holds(j.spec, len(j.tasks)); n > 0 {
			list = append(list, site{m: m, count: n, residual: m.slots.free, suspect: len(m.failed) > 0, survivor: j.survivors[m.id], cached: m.hasImage(j.spec.Image), price: l.price(m)})
		}
	}
	return list
}

func (l *leader) price(m *machine) float64 {
	t := l.kind(m)
	switch {
	case t == nil:
		return 0
	case m.spot:
		return t.SpotPrice
	default:
		return t.Price
	}
}

func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// bySite orders sites: machines under no suspicion (one on which every task
// fails at once is always free and has every image), survivors of a repair,
// then least residual room; ties go to a machine that has the image, then to
// the cheaper one.
func bySite(a, b site) int {
	return cmp.Or(trueFirst(b.suspect, a.suspect), trueFirst(a.survivor, b.survivor),
		cmp.Compare(a.residual, b.residual), trueFirst(a.cached, b.cached),
		cmp.Compare(a.price, b.price), cmp.Compare(a.m.id, b.m.id))
}

// byImage orders sites for tasks that take any room: the image first, since
// fetching it is most of a start, then least residual room, then price.
func byImage(a, b site) int {
	return cmp.Or(trueFirst(b.suspect, a.suspect), trueFirst(a.cached, b.cached), cmp.Compare(a.price, b.price),
		cmp.Compare(a.residual, b.residual), cmp.Compare(a.m.id, b.m.id))
}

// placeGang finds a place for every task of a gang, or for none.
func (l *leader) placeGang(j *job) bool {
	g := len(j.tasks)
	if l.teamRoom(j) < g || l.splitFirst(j) {
		return false
	}
	limit, only := l.zoneLimits(j)
	var best []site
	// The machine level: the whole gang on one machine.
	if !j.spec.Spread || g == 1 {
		k := order(g * taskSlots(j.spec))
		for _, aligned := range []bool{true, false} {
			var fit []site
			for _, s := range l.sites(j, only) {
				if s.count >= g && (!aligned || s.m.slots.aligned(k) > 0) {
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
	j.attempt = l.nextAttempt(j)
	index := 0
	for _, s := range best {
		for range s.count {
			l.assign(j, index, j.attempt, s.m)
			index++
		}
	}
	return true
}

// zonePlace finds the zone with a free block of the gang's order and the least
// residual room; without one, the zone that holds the gang as a union of
// smaller blocks.
func (l *leader) zonePlace(j *job, g int, only string) []site {
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
		c := &choice{aligned: fits >= 1<<order(g), residual: fits - g}
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

// fill takes g tasks' worth of sites: survivors of a repair first, then those
// with the image, the cheaper ones, those that would have the least room left.
func fill(list []site, g int) []site {
	slices.SortFunc(list, func(a, b site) int {
		return cmp.Or(trueFirst(b.suspect, a.suspect), trueFirst(a.survivor, b.survivor), trueFirst(a.cached, b.cached), cmp.Compare(a.price, b.price),
			cmp.Compare(a.residual, b.residual), cmp.Compare(a.m.id, b.m.id))
	})
	var taken []site
	for _, s := range list {
		if g == 0 {
			break
		}
		s.count = min(s.count, g)
		g -= s.count
		taken = append(taken, s)
	}
	return taken
}

// regionPlace spreads a gang over the fewest zones that its limits allow.
func (l *leader) regionPlace(j *job, g int, limit map[string]int) []site {
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
	quota := l.teamRoom(j)
	if j.overdue(l.n.now) {
		quota = min(quota, 1)
	}
	var list []site
	var limit map[string]int
	var only string
	next := 0 // sites before this one are full or not allowed
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.done || t.copies > 0 {
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
		l.assign(j, i, t.attempt+1, s.m)
		quota--
		limit[s.m.zone]--
		if j.spec.OneZone {
			only = s.m.zone
		}
		s.count = l.left(s.m).holds(j.spec, len(j.tasks))
	}
	return waiting
}

// nextAttempt is the gang's next epoch: above every attempt of every task.
func (l *leader) nextAttempt(j *job) uint64 {
	next := j.attempt
	for i := range j.tasks {
		next = max(next, j.tasks[i].attempt)
	}
	return next + 1
}

// assign plans a task onto a machine. Its start leaves once that is committed.
func (l *leader) assign(j *job, index int, attempt uint64, m *machine) {
	t := &j.tasks[index]
	c := l.addCopy(j, index, attempt, m, m.session)
	t.attempt, t.active, j.begun = attempt, c, true
	l.n.log.Debug("task placed", "job", j.id, "task", index, "attempt", attempt, "machine", m.id)
	if m.hold == j {
		m.release()
	}
	if attempt > 1 {
		l.n.metrics.Repairs++
	}
	l.touch(j, j.recordOf(index))
}
