package coordination

import (
	"cmp"
	"slices"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
)

// site is a machine that could take some tasks of a job.
type site struct {
	m               *cluster.Machine
	count           int  // tasks that fit
	residual        int  // slots left over once they are placed
	suspect         bool // a task has failed there and none has succeeded since
	siblingReplicas int  // replicas of the same service there
	starvesGPUs     bool // one more task without GPUs would leave its GPUs idle
	survivor        bool // held a task of the job's broken attempt
	cached          bool
	price           float64
}

// sites lists the machines that can take tasks of a job, the best first.
func (l *leader) sites(j *cluster.Job, zone protocol.ZoneName) []site {
	var list []site
	p := l.currentPass()
	machines := p.vacant
	if j.Spec.GPUs == 0 {
		machines = p.open // it may fit beside tasks that have all of a machine's GPUs
	}
	p.looks += len(machines)
	for _, m := range machines {
		if zone != "" && m.Zone != zone || !l.cluster.Suits(j, m) {
			continue
		}
		if n := l.cluster.FreeResources(m).Fit(j.Spec, len(j.Tasks)); n > 0 {
			list = append(list, site{m: m, count: n, residual: m.Slots.Free(), suspect: len(m.FailedJobs) > 0, survivor: j.Survivors[m.ID], cached: m.HasImage(j.Spec.Image), price: l.cluster.PriceOf(m)})
		}
	}
	return list
}

// bySite orders sites: machines under no suspicion (one on which every task
// fails at once is always free and has every image), survivors of a repair,
// then least residual room; ties go to a machine that has the image, then to
// the cheaper one.
func bySite(a, b site) int {
	return cmp.Or(cluster.TrueFirst(b.suspect, a.suspect), cluster.TrueFirst(a.survivor, b.survivor),
		cmp.Compare(a.residual, b.residual), cluster.TrueFirst(a.cached, b.cached),
		cmp.Compare(a.price, b.price), cmp.Compare(a.m.ID, b.m.ID))
}

// byImage orders sites for tasks that take any room: the image first, since
// fetching it is most of a start, then least residual room, then price.
func byImage(a, b site) int {
	return cmp.Or(cluster.TrueFirst(b.suspect, a.suspect), cluster.TrueFirst(a.cached, b.cached), cmp.Compare(a.price, b.price),
		cmp.Compare(a.residual, b.residual), cmp.Compare(a.m.ID, b.m.ID))
}

// fill takes g tasks' worth of sites: survivors of a repair first, then those
// with the image, the cheaper ones, those that would have the least room left.
func fill(list []site, g int) []site {
	slices.SortFunc(list, func(a, b site) int {
		return cmp.Or(cluster.TrueFirst(b.suspect, a.suspect), cluster.TrueFirst(a.survivor, b.survivor), cluster.TrueFirst(a.cached, b.cached), cmp.Compare(a.price, b.price),
			cmp.Compare(a.residual, b.residual), cmp.Compare(a.m.ID, b.m.ID))
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
