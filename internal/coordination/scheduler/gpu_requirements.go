package scheduler

import (
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
)

// perGPURequirements is the largest number of CPUs and the largest amount of memory that any
// current job requires for each GPU.
type perGPURequirements struct{ cpus, memoryGB float64 }

// update computes the requirements from the current jobs. While no job uses GPUs they stay
// unchanged, because more GPU jobs may arrive.
func (r *perGPURequirements) update(jobs map[protocol.JobID]*cluster.Job) {
	var needs perGPURequirements
	for _, job := range jobs {
		if spec := job.Spec; spec.GPUs > 0 {
			needs.cpus = max(needs.cpus, spec.CPUs/spec.GPUs)
			needs.memoryGB = max(needs.memoryGB, spec.MemoryGB/spec.GPUs)
		}
	}
	if needs.cpus > 0 || needs.memoryGB > 0 {
		*r = needs
	}
}

// wouldStarveGPUs reports whether one more task without GPUs would leave too few CPUs or too
// little memory on a machine for work on all its GPUs.
func (r perGPURequirements) wouldStarveGPUs(spec *protocol.Job, machine *cluster.Machine, machineType *protocol.MachineType) bool {
	if machineType == nil || machineType.GPUs == 0 || spec.GPUs > 0 {
		return false
	}
	remaining := cluster.CapacityOf(machineType)
	remaining.AddTasks(spec, -1)
	for _, attempt := range machine.Attempts {
		if attempt.Job.Spec.GPUs == 0 {
			remaining.AddTasks(attempt.Job.Spec, -1)
		}
	}
	return remaining.CPUs+cluster.AmountTolerance < r.cpus*machineType.GPUs ||
		remaining.MemoryGB+cluster.AmountTolerance < r.memoryGB*machineType.GPUs
}
