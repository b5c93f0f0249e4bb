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

// AttemptID names an attempt among those on its machine.
type AttemptID struct {
	Job    protocol.JobID
	Index  int
	Number protocol.AttemptNumber
}

// Attempt is one attempt of a task on one machine, from the moment it is planned until it
// is proven gone. While it exists it takes capacity and quota.
//
// Its states are changed by its methods alone.
type Attempt struct {
	Job         *Job
	Key         AttemptKey
	Machine     *Machine
	Incarnation protocol.Incarnation // of the agent
	Slots       []int
	Committed   bool // a stored record has its place
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
func (a *Attempt) ID() AttemptID {
	return AttemptID{Job: a.Job.ID, Index: a.Key.Index, Number: a.Key.Number}
}

// MarkCommitted notes that a stored record has the attempt's place: its start may leave.
func (a *Attempt) MarkCommitted() { a.Committed = true }

// MarkRecovered makes the attempt one that a predecessor placed. It is committed, and its
// start may have left.
func (a *Attempt) MarkRecovered() { a.Committed, a.StartSent, a.Recovered = true, true, true }

// MarkOrphaned makes the attempt one that no record asks for, left by a predecessor: it is
// to be stopped when an agent shows it.
func (a *Attempt) MarkOrphaned() {
	a.MarkRecovered()
	a.Orphaned = true
}

// MarkStartSent notes that a start may have left from now on.
func (a *Attempt) MarkStartSent() { a.StartSent = true }

// MarkStartInResponse notes that the response to a heartbeat has its start.
func (a *Attempt) MarkStartInResponse() { a.StartSent, a.StartInResponse = true, true }

// BeginDirectStart notes that a direct command with its start leaves.
func (a *Attempt) BeginDirectStart(now time.Time) {
	a.StartsInFlight++
	a.StartSentAt = now
}

// EndDirectStart notes that such a command was answered.
func (a *Attempt) EndDirectStart() { a.StartsInFlight-- }

// MarkDirectStartUnanswered notes that such a command was not answered: it may arrive at any later
// time while incarnation and fencing token match.
func (a *Attempt) MarkDirectStartUnanswered() {
	a.StartsInFlight--
	a.StartUnanswered = true
}

// StartMayArrive says whether a start may be on its way to the agent.
func (a *Attempt) StartMayArrive() bool { return a.StartUnanswered || a.StartsInFlight > 0 }

// ObserveState notes the state that the agent reports. First is true when the attempt is
// seen running for the first time.
func (a *Attempt) ObserveState(state protocol.TaskState, now time.Time) (first bool) {
	a.ReportedState, a.StartSent = state, true
	if state != protocol.TaskRunning || !a.RunningSince.IsZero() {
		return false
	}
	a.RunningSince = now
	return true
}

// ObserveExit notes that the agent reports its exit.
func (a *Attempt) ObserveExit() { a.ReportedState = protocol.TaskExited }

// RequestStop has the attempt stop within a grace. A later request only shortens it.
func (a *Attempt) RequestStop(graceS float64) {
	if !a.Stopping || graceS < a.GraceS {
		a.Stopping, a.GraceS, a.StopSentAt = true, graceS, time.Time{}
	}
}

// MarkStopSent notes that the command to stop leaves.
func (a *Attempt) MarkStopSent(now time.Time) { a.StopSentAt = now }
