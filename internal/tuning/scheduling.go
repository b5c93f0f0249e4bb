package tuning

import (
	"time"
)

// The scheduler.
const (
	// MinSchedulingInterval is the least pause between two scheduling cycles.
	MinSchedulingInterval = 100 * time.Millisecond
	// MaxSchedulingInterval is the longest pause between two cycles: time-outs have no event.
	MaxSchedulingInterval = time.Second
	// CandidateCPUCost is about what examining one machine for one job costs of a core.
	CandidateCPUCost = 100 * time.Nanosecond
	// MaxSchedulingCycleTime is how long one scheduling cycle may go on preempting: a
	// leader lease must be renewed, and heartbeats answered, between two cycles.
	MaxSchedulingCycleTime = 100 * time.Millisecond
	// MinExaminedMachines is the number of machines that a cycle may examine however small the
	// controller's share of a core: a few jobs' searches on a small fleet.
	MinExaminedMachines = 5000
	// SchedulingCPUShare is the part of the controller's processor time that scheduling cycles
	// may take; heartbeats, commits and users need the rest.
	SchedulingCPUShare = 0.25
	// PreemptionSearchBackoff is the pause after a search for work to stop found nothing.
	PreemptionSearchBackoff = time.Second
	// MachineSweepInterval is how often all machines are examined for silence,
	// lease expiry and return: finer than any time-out that depends on it.
	MachineSweepInterval = 500 * time.Millisecond
	// CPUsPerSlot is the share of processors that makes a slot on machines
	// without GPUs; memory follows in the machine's own proportion.
	CPUsPerSlot = 4.0
	// MachineRefusalBackoff is how long a job avoids a machine that refused its task.
	MachineRefusalBackoff = 15 * time.Second
	// MachineFailureBackoff is how long a job avoids a machine on which its task failed:
	// long enough for another job to show whether the machine is to blame, well below
	// the 90 s that no job may wait beside free capacity for it.
	MachineFailureBackoff = time.Minute
	// MinFetchSecondsForImageLocality is the fetch time, in seconds, from which a gang would rather
	// take machines that have its image.
	MinFetchSecondsForImageLocality = 5.0
	// ImageLocalWaitFactor is for how many times its fetch an array leaves machines
	// without its image to others: it gains one fetch and may lose its deadline.
	ImageLocalWaitFactor = 2.0
	// MaxImageLocalSaveShare is the share of the fetch time that saving the work in the way
	// may take.
	MaxImageLocalSaveShare = 0.6
	// MinCheckpointBenefit is how many times the saving time the work at stake must be for a
	// task that yields to save: the job that waits pays for the saving too.
	MinCheckpointBenefit = 2.0
	// GangRestartSeconds is how long, in seconds, a gang that yields takes to gather
	// again: a new place, perhaps a fetch, and its slowest task.
	GangRestartSeconds = 10.0
	// MaxImageLocalLossFactor is how much more work, in GPU seconds, may be lost than the
	// gang's GPUs would idle during the fetch.
	MaxImageLocalLossFactor = 2.0
	// ArrayStartDeadline is how long an array may wait for its first place before it
	// goes first: users expect the largest to begin within four minutes, and
	// renting takes up to one.
	ArrayStartDeadline = 150 * time.Second
	// MissedObjectivePenalty is how far back an array goes in the queue for every aim that it
	// is too late for.
	MissedObjectivePenalty = 5 * time.Minute
	// RemainingTaskPenalty is how much later than by its aims alone an array's turn comes for
	// every task that is not done: when not all can be in time, small ones can.
	RemainingTaskPenalty = 1500 * time.Millisecond
	// ReservationTimeout is how long capacity freed by preemption is reserved for its job.
	ReservationTimeout = 25 * time.Second
)
