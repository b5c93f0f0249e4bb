package tuning

import (
	"time"
)

// The scheduler.
const (
	// MinSchedulingInterval is the least pause between two scheduling cycles.
	MinSchedulingInterval = 100 * time.Millisecond
	// MaxSchedulingInterval is the longest pause between two cycles: the expiry of a time-out
	// triggers no event that requests a cycle.
	MaxSchedulingInterval = time.Second
	// CandidateCPUCost is the approximate CPU time of examining one machine for one job.
	CandidateCPUCost = 100 * time.Nanosecond
	// MaxSchedulingCycleTime is how long a scheduling cycle may continue to start preemption
	// searches. Between two cycles the leader must renew its lease and respond to heartbeats.
	MaxSchedulingCycleTime = 100 * time.Millisecond
	// MinExaminedMachines is the number of machines that a cycle may examine however small the
	// controller's share of a core is: enough for the searches of a few jobs on a small fleet.
	MinExaminedMachines = 5000
	// SchedulingCPUShare is the share of the controller's CPU time that scheduling cycles
	// may take. The rest is left for heartbeats, commits and users' requests.
	SchedulingCPUShare = 0.25
	// PreemptionSearchBackoff is the pause after a search for tasks to preempt found nothing.
	PreemptionSearchBackoff = time.Second
	// MachineSweepInterval is how often all machines are checked for silence, expired leases and
	// deletion. It is shorter than any time-out that depends on it.
	MachineSweepInterval = 500 * time.Millisecond
	// CPUsPerSlot is the number of CPUs that make up a slot on machines
	// without GPUs. Memory is divided in the machine's own proportion.
	CPUsPerSlot = 4.0
	// MachineRefusalBackoff is how long a job avoids a machine that refused its task.
	MachineRefusalBackoff = 15 * time.Second
	// MachineFailureBackoff is how long a job avoids a machine on which its task failed. It is
	// long enough for another job to show whether the machine is at fault, and well below
	// the 90 s for which no job may wait because of it while there is free capacity.
	MachineFailureBackoff = time.Minute
	// MinFetchSecondsForImageLocality is the image fetch time, in seconds, from which a gang
	// prefers machines that have its image.
	MinFetchSecondsForImageLocality = 5.0
	// ImageLocalWaitFactor is how long an array may wait for machines that have its image, as a
	// multiple of the fetch time. Waiting saves one fetch, but may make the array miss its deadline.
	ImageLocalWaitFactor = 2.0
	// MaxImageLocalSaveShare is the share of the fetch time within which the tasks preempted on
	// machines that have the image must have saved their checkpoints.
	MaxImageLocalSaveShare = 0.6
	// MinCheckpointBenefit is the ratio of the work at stake to the time that saving takes, above
	// which a preempted task outside a gang saves a checkpoint. The waiting job pays for the saving
	// too.
	MinCheckpointBenefit = 2.0
	// GangRestartSeconds is how long, in seconds, a preempted gang takes to restart: it needs a
	// new placement and perhaps an image fetch, and waits for its slowest task.
	GangRestartSeconds = 10.0
	// MaxImageLocalLossFactor bounds the work, in GPU seconds, that may be lost to preemption on
	// machines that have a gang's image, as a multiple of the GPU seconds for which the gang's
	// GPUs would idle during the fetch.
	MaxImageLocalLossFactor = 2.0
	// ArrayStartDeadline is how long an array may wait for its first placement before it
	// goes to the front of the queue. Users expect the largest arrays to start within four
	// minutes, and requesting machines takes up to one.
	ArrayStartDeadline = 150 * time.Second
	// MissedObjectivePenalty is how far an array moves back in the queue for every objective that
	// it can no longer meet.
	MissedObjectivePenalty = 5 * time.Minute
	// RemainingTaskPenalty is how far an array moves back in the queue for every task that is not
	// done. If not all arrays can meet their objectives, small ones still can.
	RemainingTaskPenalty = 1500 * time.Millisecond
	// ReservationHorizon is how far ahead the end of a task may be for its capacity to count as
	// soon free for a gang that reserves machines.
	ReservationHorizon = 60 * time.Second
	// MaxHoldTime is how long a free machine is held for waiting gangs at a time, below the
	// 90 s for which no job may wait beside free capacity.
	MaxHoldTime = 80 * time.Second
	// HoldPause is how long the jobs behind the gangs may take the machine after that.
	HoldPause = 20 * time.Second
	// ReservationTimeout is how long capacity freed by preemption is reserved for its job.
	ReservationTimeout = 25 * time.Second
)
