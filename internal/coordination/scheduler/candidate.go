package scheduler

import (
	"cmp"
	"slices"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
)

// Candidate is a machine that could take some tasks of a job.
type Candidate struct {
	machine         *cluster.Machine
	tasks           int  // tasks that fit
	residualSlots   int  // slots left over once they are placed
	suspected       bool // a task has failed there and none has succeeded since
	siblingReplicas int  // replicas of the same service there
	starvesGPUs     bool // one more task without GPUs would leave its GPUs idle
	survivor        bool // held a task of the job's broken attempt
	imageLocal      bool
	price           float64
}

// candidates lists the machines that can take tasks of a job, the best first.
func (sc *Scheduler) candidates(job *cluster.Job, zone protocol.ZoneName) []Candidate {
	var list []Candidate
	p := sc.currentCycle()
	machines := p.vacant
	if job.Spec.GPUs == 0 {
		machines = p.schedulable // it may fit beside tasks that have all of a machine's GPUs
	}
	p.examined += len(machines)
	for _, machine := range machines {
		if zone != "" && machine.Zone != zone || !sc.state.Suits(job, machine) {
			continue
		}
		if n := sc.state.FreeResources(machine).Fit(job.Spec, len(job.Tasks)); n > 0 {
			list = append(list, Candidate{machine: machine, tasks: n, residualSlots: machine.Slots.Free(), suspected: len(machine.FailedJobs) > 0, survivor: job.Survivors[machine.ID], imageLocal: machine.HasImage(job.Spec.Image), price: sc.state.PriceOf(machine)})
		}
	}
	return list
}

// compareByFit orders sites: machines under no suspicion (one on which every task
// fails at once is always free and has every image), survivors of a repair,
// then least residual room; ties go to a machine that has the image, then to
// the cheaper one.
func compareByFit(a, b Candidate) int {
	return cmp.Or(cluster.TrueFirst(b.suspected, a.suspected), cluster.TrueFirst(a.survivor, b.survivor),
		cmp.Compare(a.residualSlots, b.residualSlots), cluster.TrueFirst(a.imageLocal, b.imageLocal),
		cmp.Compare(a.price, b.price), cmp.Compare(a.machine.ID, b.machine.ID))
}

// compareByImage orders sites for tasks that take any room: the image first, since
// fetching it is most of a start, then least residual room, then price.
func compareByImage(a, b Candidate) int {
	return cmp.Or(cluster.TrueFirst(b.suspected, a.suspected), cluster.TrueFirst(a.imageLocal, b.imageLocal), cmp.Compare(a.price, b.price),
		cmp.Compare(a.residualSlots, b.residualSlots), cmp.Compare(a.machine.ID, b.machine.ID))
}

// pack takes g tasks' worth of sites: survivors of a repair first, then those
// with the image, the cheaper ones, those that would have the least room left.
func pack(list []Candidate, g int) []Candidate {
	slices.SortFunc(list, func(a, b Candidate) int {
		return cmp.Or(cluster.TrueFirst(b.suspected, a.suspected), cluster.TrueFirst(a.survivor, b.survivor), cluster.TrueFirst(a.imageLocal, b.imageLocal), cmp.Compare(a.price, b.price),
			cmp.Compare(a.residualSlots, b.residualSlots), cmp.Compare(a.machine.ID, b.machine.ID))
	})
	var taken []Candidate
	for _, s := range list {
		if g == 0 {
			break
		}
		s.tasks = min(s.tasks, g)
		g -= s.tasks
		taken = append(taken, s)
	}
	return taken
}
