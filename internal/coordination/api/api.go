// Package api answers users' requests: submissions, status queries and cancellations. All
// of them are idempotent: a repeated submission of a known job changes nothing and is
// answered with the job's state.
//
// Every controller answers them by itself, from its mirror and by guarded transactions; it
// need not lead. No user is told anything that is not durable, or an older state than any
// controller has told before. The package decides nothing on placement and sends agents
// nothing.
package api

import (
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// Environment is what the service needs of the controller.
type Environment interface {
	Now() time.Time
	// UniqueName makes a name that no other write has.
	UniqueName() string
	// StoreUnreachable says whether requests to the key-value store hang: a user is better
	// told at once to come back, perhaps to another controller.
	StoreUnreachable() bool
	// ForwardSubmission has a peer answer a submission; false if none can.
	ForwardSubmission(requestID uint64, spec *protocol.Job) bool
	// AnnounceCancellation tells the leader of a cancellation that is in the records.
	AnnounceCancellation(jobID protocol.JobID)
	// CancellationConfirmed is called before a user is told that a job is cancelled.
	CancellationConfirmed(jobID protocol.JobID)
}

// Budgets say what may be asked of the key-value store for users now.
type Budgets interface {
	AllowsUserRead(now time.Time) bool
	TakeUserWrite(now time.Time) bool
}

// Replies answers users' requests by their numbers, each once.
type Replies interface {
	// Created: the job was new and is stored.
	Created(requestID uint64, accepted protocol.Accepted)
	// Accepted: the submission or the cancellation stands.
	Accepted(requestID uint64, accepted protocol.Accepted)
	// Status is the state of a job.
	Status(requestID uint64, status protocol.Status)
	// UnknownJob: there is no such job.
	UnknownJob(requestID uint64)
	// Unrunnable: the job can never run.
	Unrunnable(requestID uint64, reason string)
	// Unavailable: the request cannot be taken now.
	Unavailable(requestID uint64, reason string)
}

// Reasons why a request cannot be taken now.
const (
	reasonStarting         = "starting"
	reasonStoreUnreachable = "state service out of reach"
	reasonStoreSilent      = "state service does not answer"
	reasonUnreadableRecord = "record does not parse"
	reasonBusy             = "busy"
	reasonTryAgain         = "try again"
)

// Service answers users' requests at one controller.
type Service struct {
	cfg     *config.Config
	types   map[protocol.MachineTypeName]*protocol.MachineType // known so far, filled by the owner
	mirror  *storage.Mirror
	store   kv.Client
	budgets Budgets
	replies Replies
	env     Environment

	finished  map[protocol.JobID]storage.Final // finished jobs, whose states never change
	confirmed confirmedCancellations
	queries   []statusQuery
	checkAt   time.Time // when the status queries are checked
	shed      uint64
}

// New makes a service that reads from the owner's mirror and machine types.
func New(cfg *config.Config, types map[protocol.MachineTypeName]*protocol.MachineType, mirror *storage.Mirror,
	store kv.Client, budgets Budgets, replies Replies, env Environment) *Service {
	return &Service{
		cfg: cfg, types: types, mirror: mirror, store: store, budgets: budgets, replies: replies, env: env,
		finished:  map[protocol.JobID]storage.Final{},
		confirmed: confirmedCancellations{jobs: map[protocol.JobID]time.Time{}},
	}
}

// Shed is how many requests were turned away because too much is asked.
func (s *Service) Shed() uint64 { return s.shed }

// Due tells when status queries that wait are to be checked.
func (s *Service) Due(by func(time.Time)) {
	if len(s.queries) > 0 {
		by(s.checkAt)
	}
}

// JobFinished remembers the final state of a job.
func (s *Service) JobFinished(jobID protocol.JobID, final storage.Final) {
	if len(s.finished) >= tuning.MaxCachedFinalStates {
		clear(s.finished)
	}
	s.finished[jobID] = final
}

// replyAccepted tells a user that a submission or a cancellation stands.
func (s *Service) replyAccepted(requestID uint64, jobID protocol.JobID, phase protocol.Phase) {
	s.noteIfCancelled(jobID, phase)
	s.replies.Accepted(requestID, protocol.Accepted{ID: jobID, Phase: phase})
}

// replyStatus tells a user the state of a job.
func (s *Service) replyStatus(requestID uint64, status protocol.Status) {
	s.noteIfCancelled(status.ID, status.Phase)
	s.replies.Status(requestID, status)
}

// refuseUnserved refuses a request at once while the controller is starting or the store
// does not answer it.
func (s *Service) refuseUnserved(requestID uint64, started bool) bool {
	switch {
	case !started:
		s.replies.Unavailable(requestID, reasonStarting)
	case s.env.StoreUnreachable():
		s.replies.Unavailable(requestID, reasonStoreUnreachable)
	default:
		return false
	}
	return true
}

// shedLoad turns a request away because too much is asked.
func (s *Service) shedLoad(requestID uint64) {
	s.shed++
	s.replies.Unavailable(requestID, reasonBusy)
}
