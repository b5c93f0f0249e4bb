package scheduler

import (
	"cmp"
	"slices"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
)

// candidate is a machine that could take some tasks of a job.
type candidate struct {
	machine         *cluster.Machine
	tasks           int  // tasks that fit
	freeSlots       int  // slots that are free before they are placed
	suspected       bool // a task has failed there and none has succeeded since
	siblingReplicas int  // replicas of the same service there
	starvesGPUs     bool // one more task without GPUs would leave its GPUs idle
	surviving       bool // held a task of the job's broken attempt
	imageLocal      bool // has the job's image
	price           float64
}

// candidates lists the machines that can take tasks of a job, in the machines' order; zone
// "" stands for all zones.
func (c *cycle) candidates(job *cluster.Job, zone protocol.ZoneName) []candidate {
	var list []candidate
	machines := c.withFreeCapacity
	if job.Spec.GPUs == 0 {
		machines = c.schedulable // it may fit beside tasks that have all of a machine's GPUs
	}
	c.machinesExamined += len(machines)
	for _, machine := range machines {
		if zone != "" && machine.Zone != zone || !c.state.MeetsConstraints(job, machine) {
			continue
		}
		tasks := c.state.FreeResources(machine).Fit(job.Spec, len(job.Tasks))
		if tasks == 0 {
			continue
		}
		list = append(list, candidate{
			machine:    machine,
			tasks:      tasks,
			freeSlots:  machine.Slots.Free(),
			suspected:  len(machine.FailedJobs) > 0,
			surviving:  job.SurvivingMachines[machine.ID],
			imageLocal: machine.HasImage(job.Spec.Image),
			price:      c.state.PriceOf(machine),
		})
	}
	return list
}

// countTasks is how many tasks fit on all candidates together.
func countTasks(list []candidate) (tasks int) {
	for i := range list {
		tasks += list[i].tasks
	}
	return tasks
}

// compareByFit orders candidates: machines under no suspicion (one on which every task
// fails at once is always free and has every image), survivors of a repair, then the
// fewest free slots; ties go to a machine that has the image, then to the cheaper one.
func compareByFit(a, b candidate) int {
	return cmp.Or(
		cluster.TrueFirst(b.suspected, a.suspected),
		cluster.TrueFirst(a.surviving, b.surviving),
		cmp.Compare(a.freeSlots, b.freeSlots),
		cluster.TrueFirst(a.imageLocal, b.imageLocal),
		cmp.Compare(a.price, b.price),
		cmp.Compare(a.machine.ID, b.machine.ID))
}

// compareByImage orders candidates for tasks that need no block of slots: the image first,
// since fetching it is most of a start, then the price, then the fewest free slots.
func compareByImage(a, b candidate) int {
	return cmp.Or(
		cluster.TrueFirst(b.suspected, a.suspected),
		cluster.TrueFirst(a.imageLocal, b.imageLocal),
		cmp.Compare(a.price, b.price),
		cmp.Compare(a.freeSlots, b.freeSlots),
		cmp.Compare(a.machine.ID, b.machine.ID))
}

// compareForPacking is compareByImage with the survivors of a repair before the others.
func compareForPacking(a, b candidate) int {
	return cmp.Or(
		cluster.TrueFirst(b.suspected, a.suspected),
		cluster.TrueFirst(a.surviving, b.surviving),
		compareByImage(a, b))
}

// pack chooses candidates for so many tasks and says how many each takes.
func pack(list []candidate, tasks int) []candidate {
	slices.SortFunc(list, compareForPacking)
	var taken []candidate
	for _, c := range list {
		if tasks == 0 {
			break
		}
		c.tasks = min(c.tasks, tasks)
		tasks -= c.tasks
		taken = append(taken, c)
	}
	return taken
}
