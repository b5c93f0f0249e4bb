package tuning

import (
	"time"
)

// Planning.
const (
	// PlanEvery is the least pause between two passes over the queue.
	PlanEvery = 100 * time.Millisecond
	// PlanIdle is the longest pause between two passes: time-outs have no event.
	PlanIdle = time.Second
	// LookCost is about what a look at one machine for one job costs of a core.
	LookCost = 100 * time.Nanosecond
	// PassLength is how long one pass over the queue may go on making room: a
	// leader lease must be renewed, and reports answered, between two passes.
	PassLength = 100 * time.Millisecond
	// LooksLeast is the number of looks that a pass may take however small the
	// controller's share of a core: a few jobs' searches on a small fleet.
	LooksLeast = 5000
	// PlanShare is the part of the controller's processor time that passes over
	// the queue may take; reports, commits and users need the rest.
	PlanShare = 0.25
	// SearchPause is the pause after a search for work to stop found nothing.
	SearchPause = time.Second
	// WatchMachines is how often all machines are looked over for silence,
	// lapse and return: finer than any time-out that depends on it.
	WatchMachines = 500 * time.Millisecond
	// SlotCPUs is the share of processors that makes a slot on machines
	// without GPUs; memory follows in the machine's own proportion.
	SlotCPUs = 4.0
	// AvoidFor is how long a job avoids a machine that refused its task.
	AvoidFor = 15 * time.Second
	// AvoidFailed is how long a job avoids a machine on which its task failed:
	// long enough for another job to show whether the machine is to blame, well below
	// the 90 s that no job may wait beside room for it.
	AvoidFailed = time.Minute
	// WarmFetch is the fetch time, in seconds, from which a gang would rather
	// take machines that have its image.
	WarmFetch = 5.0
	// WarmPatience is for how many times its fetch an array leaves machines
	// without its image to others: it gains one fetch and may lose its deadline.
	WarmPatience = 2.0
	// WarmSave is the share of the fetch time that saving the work in the way
	// may take.
	WarmSave = 0.6
	// SavePays is how many times the saving time the work at stake must be for a
	// task that yields to save: the job that waits pays for the saving too.
	SavePays = 2.0
	// GangRestart is how long, in seconds, a gang that yields takes to gather
	// again: a new place, perhaps a fetch, and its slowest task.
	GangRestart = 10.0
	// WarmLoss is how much more work, in GPU seconds, may be lost than the
	// gang's GPUs would idle during the fetch.
	WarmLoss = 2.0
	// BeginWithin is how long an array may wait for its first place before it
	// goes first: users expect the largest to begin within four minutes, and
	// renting takes up to one.
	BeginWithin = 150 * time.Second
	// LatePenalty is how far back an array goes in the queue for every aim that it
	// is too late for.
	LatePenalty = 5 * time.Minute
	// SizePenalty is how much later than by its aims alone an array's turn comes for
	// every task that is not done: when not all can be in time, small ones can.
	SizePenalty = 1500 * time.Millisecond
	// HoldFor is how long room freed by preemption is held for its job.
	HoldFor = 25 * time.Second
)
