// Package answers keeps the answers that users get about a job in order: once any controller has told
// a user that a job is accepted, done or cancelled, no controller sends an older answer.
//
// An answer rests on a read of the store. Between the read and the answer, this controller or another
// one may tell a newer state. The right to send an answer is therefore checked by a Gate when the answer
// is sent, not when its content is decided. docs/design/requests.md has the argument.
//
// The package reads no records and sends no answers. Its caller does both.
package answers

import (
	"time"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// Stage is how far a job has come, as far as an answer tells. A job never returns to an earlier stage.
type Stage int

// The stages of a job.
const (
	Unknown  Stage = iota // there is no such job
	Accepted              // the job waits or runs
	Finished              // the job is done or cancelled
)

// State is what an answer tells a user about a job, and what it rests on.
type State struct {
	Status   protocol.Status   // without a phase if the job is unknown
	Revision protocol.Revision // of the job's record, 0 if it is not known
	// ReachedBy is a revision of the store at which the job had reached its stage, 0 if none is known.
	ReachedBy protocol.Revision
	// KnownSince is a time at which this controller knew that the job had reached its stage, or zero.
	KnownSince time.Time
	SentAt     time.Time // when the request to the store was sent whose response shows the state
}

// Stage returns the stage that the state shows.
func (s State) Stage() Stage {
	switch s.Status.Phase {
	case "":
		return Unknown
	case protocol.PhaseDone, protocol.PhaseCancelled:
		return Finished
	}
	return Accepted
}

// Expires returns the time from which the state may no longer be told, because another controller may
// have told a newer one. It returns zero for a final state, which no other state follows.
func (s State) Expires() time.Time {
	switch s.Stage() {
	case Unknown:
		return s.SentAt.Add(tuning.MaxUnknownAnswerAge)
	case Accepted:
		return s.SentAt.Add(tuning.MaxAnswerAge)
	}
	return time.Time{}
}

// contradictedFor returns for how long after a job has reached a stage a controller that does not know
// of it may still tell an earlier stage.
func contradictedFor(stage Stage) time.Duration {
	if stage == Finished {
		return tuning.MaxAnswerAge + tuning.AnswerAgeMargin
	}
	return tuning.MaxUnknownAnswerAge + tuning.UnknownAnswerAgeMargin
}
