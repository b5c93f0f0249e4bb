package scheduler

import (
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
)

// perGPURequirements is the most that work on GPUs needs beside each of them.
type perGPURequirements struct{ cpus, memoryGB float64 }

// update works the needs out from the jobs that there are. Without any on GPUs they stay
// as they were: more such work may come.
func (g *perGPURequirements) update(jobs map[protocol.JobID]*cluster.Job) {
	var needs perGPURequirements
	for _, job := range jobs {
		if spec := job.Spec; spec.GPUs > 0 {
			needs.cpus = max(needs.cpus, spec.CPUs/spec.GPUs)
			needs.memoryGB = max(needs.memoryGB, spec.MemoryGB/spec.GPUs)
		}
	}
	if needs.cpus > 0 || needs.memoryGB > 0 {
		*g = needs
	}
}

// wouldStarveGPUs says whether one more task without GPUs would leave a machine's GPUs without the
// processors or memory that work on them needs.
func (g perGPURequirements) wouldStarveGPUs(spec *protocol.Job, machine *cluster.Machine, machineType *protocol.MachineType) bool {
	if machineType == nil || machineType.GPUs == 0 || spec.GPUs > 0 {
		return false
	}
	rest := cluster.CapacityOf(machineType)
	rest.AddTasks(spec, -1)
	for _, attempt := range machine.Attempts {
		if attempt.Job.Spec.GPUs == 0 {
			rest.AddTasks(attempt.Job.Spec, -1)
		}
	}
	return rest.CPUs+cluster.AmountTolerance < g.cpus*machineType.GPUs ||
		rest.MemoryGB+cluster.AmountTolerance < g.memoryGB*machineType.GPUs
}
