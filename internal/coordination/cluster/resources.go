package cluster

import (
	"math"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// AmountTolerance absorbs rounding in sums of decimal amounts.
const AmountTolerance = 1e-6

// MachineSlots is the number of slots on a machine: one a GPU or, without
// GPUs, one a fixed share of processors.
func MachineSlots(machineType *protocol.MachineType) int {
	if machineType.GPUs >= 1 {
		return int(machineType.GPUs)
	}
	return max(1, int(machineType.CPUs/tuning.CPUsPerSlot))
}

// TaskSlots is the number of slots that a task takes.
func TaskSlots(spec *protocol.Job) int {
	if spec.GPUs > 0 {
		return int(math.Ceil(spec.GPUs))
	}
	return max(1, int(math.Ceil(spec.CPUs/tuning.CPUsPerSlot)))
}

// Resources is an amount of what tasks take of machines.
type Resources struct{ CPUs, GPUs, MemoryGB float64 }

// Add adds another amount.
func (r *Resources) Add(other Resources) {
	r.CPUs += other.CPUs
	r.GPUs += other.GPUs
	r.MemoryGB += other.MemoryGB
}

// AddTasks adds what n tasks of a job take; n may be negative.
func (r *Resources) AddTasks(spec *protocol.Job, n int) {
	r.CPUs += spec.CPUs * float64(n)
	r.GPUs += spec.GPUs * float64(n)
	r.MemoryGB += spec.MemoryGB * float64(n)
}

// Fit is how many tasks of the job fit, at most limit.
func (r Resources) Fit(spec *protocol.Job, limit int) int {
	n := float64(limit)
	for _, amounts := range [][2]float64{{r.CPUs, spec.CPUs}, {r.GPUs, spec.GPUs}, {r.MemoryGB, spec.MemoryGB}} {
		if amounts[1] > 0 {
			n = min(n, math.Floor((amounts[0]+AmountTolerance)/amounts[1]))
		}
	}
	return max(0, int(n))
}

// CapacityOf is what a machine of a type has.
func CapacityOf(machineType *protocol.MachineType) Resources {
	return Resources{CPUs: machineType.CPUs, GPUs: machineType.GPUs, MemoryGB: machineType.MemoryGB}
}
