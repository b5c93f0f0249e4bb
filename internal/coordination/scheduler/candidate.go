package scheduler

import (
	"cmp"
	"slices"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
)

// candidate is a machine with room for some tasks of a job.
type candidate struct {
	machine         *cluster.Machine
	tasks           int  // number of tasks that fit
	freeSlots       int  // free slots before the tasks are placed
	suspected       bool // the machine may be faulty, or its zone may be lost
	siblingReplicas int  // replicas of the same service on the machine
	starvesGPUs     bool // one more task without GPUs would leave some of its GPUs idle
	surviving       bool // ran a task of the gang's broken attempt and is still there
	imageLocal      bool // has the job's image
	price           float64
}

// candidates returns the machines that can take tasks of a job, in the order of
// OrderedMachines. Zone "" stands for all zones.
func (c *cycle) candidates(job *cluster.Job, zone protocol.ZoneName) []candidate {
	var list []candidate
	machines := c.withFreeCapacity
	if job.Spec.GPUs == 0 {
		machines = c.schedulable // it may fit on a machine whose GPUs are all in use
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
			suspected:  machine.Suspected(),
			surviving:  job.SurvivingMachines[machine.ID],
			imageLocal: machine.HasImage(job.Spec.Image),
			price:      c.state.PriceOf(machine),
		})
	}
	return list
}

// countTasks returns how many tasks fit on all candidates together.
func countTasks(list []candidate) (tasks int) {
	for i := range list {
		tasks += list[i].tasks
	}
	return tasks
}

// compareByFit orders candidates for a gang on one machine: machines that are not suspected
// come first, then surviving machines of a broken attempt, then those with the fewest free
// slots. Ties go to a machine that has the image, then to the cheaper one. Suspected machines
// come last because a machine on which every task fails at once is always free and already
// has the images, so it would attract one task after another.
func compareByFit(a, b candidate) int {
	return cmp.Or(
		cluster.TrueFirst(b.suspected, a.suspected),
		cluster.TrueFirst(a.surviving, b.surviving),
		cmp.Compare(a.freeSlots, b.freeSlots),
		cluster.TrueFirst(a.imageLocal, b.imageLocal),
		cmp.Compare(a.price, b.price),
		cmp.Compare(a.machine.ID, b.machine.ID))
}

// compareByImage orders candidates for tasks that need no block of slots. Machines that are not
// suspected come first, then those that have the image, because fetching it takes most of a
// start, then the cheaper ones, then those with the fewest free slots.
func compareByImage(a, b candidate) int {
	return cmp.Or(
		cluster.TrueFirst(b.suspected, a.suspected),
		cluster.TrueFirst(a.imageLocal, b.imageLocal),
		cmp.Compare(a.price, b.price),
		cmp.Compare(a.freeSlots, b.freeSlots),
		cmp.Compare(a.machine.ID, b.machine.ID))
}

// compareForPacking orders candidates for a gang on several machines: machines that are not
// suspected come first, then surviving machines of a broken attempt, then as in compareByImage.
func compareForPacking(a, b candidate) int {
	return cmp.Or(
		cluster.TrueFirst(b.suspected, a.suspected),
		cluster.TrueFirst(a.surviving, b.surviving),
		compareByImage(a, b))
}

// pack chooses candidates for the given number of tasks. In the result, the tasks field of each
// candidate is the number of tasks that it takes.
func pack(list []candidate, tasks int) []candidate {
	slices.SortFunc(list, compareForPacking)
	var chosen []candidate
	for _, c := range list {
		if tasks == 0 {
			break
		}
		c.tasks = min(c.tasks, tasks)
		tasks -= c.tasks
		chosen = append(chosen, c)
	}
	return chosen
}
