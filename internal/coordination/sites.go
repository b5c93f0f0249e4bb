package coordination

import (
	"cmp"
	"math"
	"slices"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

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

// resources is what a machine has left.
type resources struct{ cpus, gpus, memory float64 }

func (r *resources) add(o resources) {
	r.cpus += o.cpus
	r.gpus += o.gpus
	r.memory += o.memory
}

func (r *resources) addTasks(s *protocol.Job, n int) {
	r.cpus += s.CPUs * float64(n)
	r.gpus += s.GPUs * float64(n)
	r.memory += s.MemoryGB * float64(n)
}

// fit is how many tasks of the job fit, at most limit.
func (r resources) fit(s *protocol.Job, limit int) int {
	n := float64(limit)
	for _, p := range [][2]float64{{r.cpus, s.CPUs}, {r.gpus, s.GPUs}, {r.memory, s.MemoryGB}} {
		if p[1] > 0 {
			n = min(n, math.Floor((p[0]+amountSlack)/p[1]))
		}
	}
	return max(0, int(n))
}

func capacityOf(t *protocol.MachineType) resources { return resources{t.CPUs, t.GPUs, t.MemoryGB} }

// freeResources is the machine's free room.
func (l *leader) freeResources(m *machine) resources {
	t := l.kind(m)
	if t == nil {
		return resources{}
	}
	return resources{t.CPUs - m.cpus, t.GPUs - m.gpus, t.MemoryGB - m.memory}
}

// hasFree says whether a machine has anything left to give.
func (m *machine) hasFree(t *protocol.MachineType) bool {
	return m.cpus < t.CPUs && m.memory < t.MemoryGB && (t.GPUs == 0 || m.gpus < t.GPUs)
}

// takesTasks says whether a machine takes new tasks at all.
func (l *leader) takesTasks(m *machine) bool {
	return m.recorded && !l.notReceiving(m) && !l.notReporting(m) && !m.cordoned && !m.deleting && l.isConfirmedAlive(m) && l.kind(m) != nil
}

// allows says whether the job may use machines of this type, zone and kind.
func allows(s *protocol.Job, typeName protocol.MachineTypeName, zone protocol.ZoneName, spot bool) bool {
	return protocol.Allowed(s.Types, typeName) && (s.Zone == "" || s.Zone == zone) && (s.Spot || !spot)
}

// usable says whether a job may start on a machine now.
func (l *leader) usable(j *job, m *machine) bool { return l.takesTasks(m) && l.suits(j, m) }

// suits says the same of a machine that is known to be open.
func (l *leader) suits(j *job, m *machine) bool {
	return (m.hold == nil || m.hold == j) && allows(j.spec, m.typeName, m.zone, m.spot) && !l.avoids(j, m)
}

// avoids says whether a job's task was refused or failed on a machine lately.
func (l *leader) avoids(j *job, m *machine) bool {
	return len(j.avoid) > 0 && l.n.now.Before(j.avoid[m.id])
}

// site is a machine that could take some tasks of a job.
type site struct {
	m               *machine
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
func (l *leader) sites(j *job, zone protocol.ZoneName) []site {
	var list []site
	p := l.currentPass()
	machines := p.vacant
	if j.spec.GPUs == 0 {
		machines = p.open // it may fit beside tasks that have all of a machine's GPUs
	}
	p.looks += len(machines)
	for _, m := range machines {
		if zone != "" && m.zone != zone || !l.suits(j, m) {
			continue
		}
		if n := l.freeResources(m).fit(j.spec, len(j.tasks)); n > 0 {
			list = append(list, site{m: m, count: n, residual: m.slots.Free(), suspect: len(m.failed) > 0, survivor: j.survivors[m.id], cached: m.hasImage(j.spec.Image), price: l.price(m)})
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
