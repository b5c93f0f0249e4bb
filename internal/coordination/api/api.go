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

// Service answers users' requests at one controller.
type Service struct {
	replies       *responder
	finished      *finishedJobs
	queries       *statusQueries
	submissions   *submissions
	cancellations *cancellations
}

// New makes a service that reads from the owner's mirror and machine types.
func New(cfg *config.Config, types map[protocol.MachineTypeName]*protocol.MachineType, mirror *storage.Mirror,
	store kv.Client, budgets Budgets, replies Replies, env Environment) *Service {
	confirmed := &confirmedCancellations{cfg: cfg, env: env, jobs: map[protocol.JobID]time.Time{}}
	responder := &responder{Replies: replies, env: env, confirmed: confirmed}
	finished := &finishedJobs{finals: map[protocol.JobID]storage.FinalRecord{}}
	lookups := &lookups{store: store, env: env, replies: responder, finished: finished}
	queries := &statusQueries{cfg: cfg, mirror: mirror, store: store, budgets: budgets, env: env,
		replies: responder, finished: finished, lookups: lookups}
	return &Service{
		replies: responder, finished: finished, queries: queries,
		submissions: &submissions{cfg: cfg, mirror: mirror, store: store, budgets: budgets, env: env,
			replies: responder, finished: finished, lookups: lookups, queries: queries,
			runnable: &runnableCheck{cfg: cfg, types: types}},
		cancellations: &cancellations{mirror: mirror, store: store, budgets: budgets, env: env,
			replies: responder, finished: finished, lookups: lookups},
	}
}

// Submit answers a submission: the job is stored, unless it is known already.
func (s *Service) Submit(requestID uint64, spec *protocol.Job) { s.submissions.answer(requestID, spec) }

// Query answers a status query.
func (s *Service) Query(requestID uint64, jobID protocol.JobID) { s.queries.answer(requestID, jobID) }

// Cancel answers a cancellation: the job is marked as cancelled, unless it is finished.
func (s *Service) Cancel(requestID uint64, jobID protocol.JobID) {
	s.cancellations.answer(requestID, jobID)
}

// CheckQueries checks the records of the status queries that wait, if it is time to.
func (s *Service) CheckQueries() { s.queries.check() }

// Shed is how many requests were turned away because too much is asked.
func (s *Service) Shed() uint64 { return s.replies.shed }

// Due tells when status queries that wait are to be checked.
func (s *Service) Due(by func(time.Time)) { s.queries.due(by) }

// JobFinished remembers the final state of a job.
func (s *Service) JobFinished(jobID protocol.JobID, final storage.FinalRecord) {
	s.finished.add(jobID, final)
}

// ConfirmedCancellations lists the jobs that users were told are cancelled, in order,
// without those whose cancellation has taken effect by now.
func (s *Service) ConfirmedCancellations() []protocol.JobID { return s.replies.confirmed.list() }
