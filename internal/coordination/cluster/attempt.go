package cluster

import (
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// AttemptKey identifies an attempt within its job.
type AttemptKey struct {
	Index   int
	Number  protocol.AttemptNumber
	Machine protocol.MachineID
}

// AttemptID identifies an attempt on its machine.
type AttemptID struct {
	Job    protocol.JobID
	Index  int
	Number protocol.AttemptNumber
}

// Attempt is one attempt to run a task on one machine. It exists from its placement until
// it is proven gone, and uses capacity and quota all that time.
//
// Only its methods change its state.
type Attempt struct {
	Job         *Job
	Key         AttemptKey
	Machine     *Machine
	Incarnation protocol.Incarnation // incarnation of the agent that the attempt is meant for
	Slots       []int
	Committed   bool // a committed record contains the placement
	// Recovered attempts come from a record of a previous leader. The record does not say
	// whether they have ended since, or whether their capacity has been used for others
	// after that. So they are never started again, and one that the agent does not have
	// counts as gone.
	Recovered bool
	Orphaned  bool // according to the records it should not run

	ReportedState protocol.TaskState // last reported state, "" before the first report
	RunningSince  time.Time          // when it was first reported running

	StartSent       bool      // a start command may have been sent
	StartInResponse bool      // the response to the last heartbeat contains a start command
	StartUnanswered bool      // a direct start command got no response and may still arrive
	StartsInFlight  int       // direct start commands in flight
	StartSentAt     time.Time // when the last direct start command was sent

	Stopping   bool
	GraceS     float64
	StopSentAt time.Time
}

// ID returns the attempt's identifier on its machine.
func (a *Attempt) ID() AttemptID {
	return AttemptID{Job: a.Job.ID, Index: a.Key.Index, Number: a.Key.Number}
}

// MarkCommitted records that the placement is committed, so that a start may be sent.
func (a *Attempt) MarkCommitted() { a.Committed = true }

// MarkRecovered marks the attempt as placed by a previous leader. Its placement is committed,
// and a start may have been sent.
func (a *Attempt) MarkRecovered() { a.Committed, a.StartSent, a.Recovered = true, true, true }

// MarkOrphaned marks the attempt as one that a previous leader placed but that should not run
// according to the records. It must be stopped when an agent reports it.
func (a *Attempt) MarkOrphaned() {
	a.MarkRecovered()
	a.Orphaned = true
}

// MarkStartSent records that a start command may have been sent.
func (a *Attempt) MarkStartSent() { a.StartSent = true }

// MarkStartInResponse records that the response to a heartbeat contains a start command.
func (a *Attempt) MarkStartInResponse() { a.StartSent, a.StartInResponse = true, true }

// BeginDirectStart records that a direct start command is sent.
func (a *Attempt) BeginDirectStart(now time.Time) {
	a.StartsInFlight++
	a.StartSentAt = now
}

// EndDirectStart records that a direct start command got a response.
func (a *Attempt) EndDirectStart() { a.StartsInFlight-- }

// MarkDirectStartUnanswered records that a direct start command got no response. The command
// may still take effect at any later time, as long as its incarnation and fencing token match.
func (a *Attempt) MarkDirectStartUnanswered() {
	a.StartsInFlight--
	a.StartUnanswered = true
}

// MarkDirectStartRefused records that the agent would refuse a direct start that got no response,
// if it still arrived.
func (a *Attempt) MarkDirectStartRefused() { a.StartUnanswered = false }

// StartMayArrive reports whether a direct start command may still arrive at the agent.
func (a *Attempt) StartMayArrive() bool { return a.StartUnanswered || a.StartsInFlight > 0 }

// ObserveState records the state that the agent reports. It returns true if the attempt is
// reported running for the first time.
func (a *Attempt) ObserveState(state protocol.TaskState, now time.Time) (first bool) {
	a.ReportedState, a.StartSent = state, true
	if state != protocol.TaskRunning || !a.RunningSince.IsZero() {
		return false
	}
	a.RunningSince = now
	return true
}

// ObserveExit records that the agent reports the attempt as exited.
func (a *Attempt) ObserveExit() { a.ReportedState = protocol.TaskExited }

// RequestStop asks the attempt to stop within a grace period. Later requests can only
// shorten the period. A shorter period has the stop command sent again.
func (a *Attempt) RequestStop(graceS float64) {
	if !a.Stopping || graceS < a.GraceS {
		a.Stopping, a.GraceS, a.StopSentAt = true, graceS, time.Time{}
	}
}

// MarkStopSent records that a stop command is sent.
func (a *Attempt) MarkStopSent(now time.Time) { a.StopSentAt = now }
