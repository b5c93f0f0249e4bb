package cluster

import (
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// AttemptKey names an attempt among those of its job.
type AttemptKey struct {
	Index   int
	Number  protocol.AttemptNumber
	Machine protocol.MachineID
}

// Attempt is one attempt of a task on one machine, from the moment it is planned until it
// is proven gone. While it exists it takes capacity and quota.
type Attempt struct {
	Job         *Job
	Key         AttemptKey
	Machine     *Machine
	Incarnation protocol.Incarnation // of the agent
	Slots       []int
	Committed   bool
	// Recovered attempts come from a predecessor's record, which does not say whether they
	// ended since: what they took may have been given to others by then. So they are
	// never started again; one that an agent does not have is gone.
	Recovered bool
	Orphaned  bool // no record asks for it

	ReportedState protocol.TaskState // as last reported, "" while never seen
	RunningSince  time.Time          // when it was first seen running

	StartSent       bool      // a start may have left
	StartInResponse bool      // its start is in the response to the last heartbeat
	StartUnanswered bool      // a direct start was never answered: it may yet arrive
	StartsInFlight  int       // direct commands with its start
	StartSentAt     time.Time // when the last of them left

	Stopping   bool
	GraceS     float64
	StopSentAt time.Time
}

// ID is the key of the attempt on its machine.
func (c *Attempt) ID() AttemptID { return AttemptID{c.Job.ID, c.Key.Index, c.Key.Number} }

// AttemptID names an attempt among those on its machine.
type AttemptID struct {
	Job    protocol.JobID
	Index  int
	Number protocol.AttemptNumber
}
