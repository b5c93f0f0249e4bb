package cluster

import (
	"time"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// FailureHistory is what the leader knows about the failures of a job's attempts.
type FailureHistory struct {
	// Machines are the machines on which a task failed since the job last worked somewhere, without
	// those on which other jobs that work failed too.
	Machines map[protocol.MachineID]bool
	// AtFault: the failures are attributed to the job, which has worked nowhere since.
	AtFault bool
	// AttributedToJob counts how often failures were attributed to the job instead of to
	// machines.
	AttributedToJob int
	// CapacityRetryAt is the time from which machines are freed or requested for a job that is at
	// fault, CapacityRetries how often it failed after such a time.
	CapacityRetryAt time.Time
	CapacityRetries int
	// Refuted: another job succeeded on a machine after this one had failed there, and this one
	// has not succeeded since. Its failures do not count against machines.
	Refuted bool
	// AvoidUntil maps machines that refused a task, or on which a task failed, to the time
	// until which the job avoids them.
	AvoidUntil map[protocol.MachineID]time.Time
}

// Attribute attributes the failures to the job. If it failed after its last
// CapacityRetryAt, the next one is further away.
func (f *FailureHistory) Attribute(now time.Time) {
	switch {
	case !f.AtFault:
		f.AtFault = true
	case now.Before(f.CapacityRetryAt):
		return
	default:
		f.CapacityRetries++
	}
	f.CapacityRetryAt = now.Add(tuning.CapacityRetryPause << min(f.CapacityRetries, tuning.MaxCapacityRetryDoublings))
}

// ShowWorking records that a task of the job succeeded or ran for a while.
func (f *FailureHistory) ShowWorking() {
	f.AtFault, f.Refuted = false, false
	clear(f.Machines)
}

// FreeCapacityOnly reports whether no machines may be freed or requested for the job.
func (f *FailureHistory) FreeCapacityOnly(now time.Time) bool {
	return f.AtFault && now.Before(f.CapacityRetryAt)
}
