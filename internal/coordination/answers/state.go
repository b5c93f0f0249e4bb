// Package answers keeps the answers that users get about a job in order: once a user has been told
// that a job is accepted, done or cancelled, no answer that is sent later shows an older state.
//
// An answer rests on a read of the store. Between the read and the answer, a newer state may be told.
// The right to send an answer is therefore checked by a Gate when the answer is sent, not when its
// content is decided.
//
// The package reads no records and sends no answers. Its caller does both.
package answers

import (
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// Stage is how far a job has come, as far as an answer tells. A job never returns to an earlier stage.
type Stage uint64

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
	SentAt   time.Time         // when the request to the store was sent whose response shows the state
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
