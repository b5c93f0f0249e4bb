package cluster

import (
	"math"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// AmountTolerance absorbs rounding errors in sums of resource amounts.
const AmountTolerance = 1e-6

// MachineSlots returns the number of slots on a machine: one for each GPU or, without GPUs,
// one for a fixed number of CPUs.
func MachineSlots(machineType *protocol.MachineType) int {
	if machineType.GPUs >= 1 {
		return int(machineType.GPUs)
	}
	return max(1, int(machineType.CPUs/tuning.CPUsPerSlot))
}

// TaskSlots returns the number of slots that a task takes.
func TaskSlots(spec *protocol.Job) int {
	if spec.GPUs > 0 {
		return int(math.Ceil(spec.GPUs))
	}
	return max(1, int(math.Ceil(spec.CPUs/tuning.CPUsPerSlot)))
}

// Resources is an amount of each resource that tasks take from machines.
type Resources struct{ CPUs, GPUs, MemoryGB float64 }

// Add adds other to r.
func (r *Resources) Add(other Resources) {
	r.CPUs += other.CPUs
	r.GPUs += other.GPUs
	r.MemoryGB += other.MemoryGB
}

// AddTasks adds the resources that n tasks of a job take; n may be negative.
func (r *Resources) AddTasks(spec *protocol.Job, n int) {
	r.CPUs += spec.CPUs * float64(n)
	r.GPUs += spec.GPUs * float64(n)
	r.MemoryGB += spec.MemoryGB * float64(n)
}

// Fit returns how many tasks of a job fit into r, at most limit.
func (r Resources) Fit(spec *protocol.Job, limit int) int {
	n := float64(limit)
	for _, amounts := range [][2]float64{{r.CPUs, spec.CPUs}, {r.GPUs, spec.GPUs}, {r.MemoryGB, spec.MemoryGB}} {
		if amounts[1] > 0 {
			n = min(n, math.Floor((amounts[0]+AmountTolerance)/amounts[1]))
		}
	}
	return max(0, int(n))
}

// CapacityOf returns the capacity of a machine of the given type.
func CapacityOf(machineType *protocol.MachineType) Resources {
	return Resources{CPUs: machineType.CPUs, GPUs: machineType.GPUs, MemoryGB: machineType.MemoryGB}
}
