// Package api handles users' requests: submissions, status queries and cancellations. All
// of them are idempotent: submitting a known job again changes nothing and returns the job's
// state.
//
// Every controller handles these requests itself, leader or not. It uses its mirror of the
// records and conditional transactions. Users are told only what is durable, and never a
// state older than one that any controller has already reported. The package makes no
// placement decisions and sends nothing to agents.
package api

import (
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/answers"
	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
)

// Environment is what the service needs from the controller.
type Environment interface {
	Now() time.Time
	// UniqueName returns a name that no other write uses.
	UniqueName() string
	// StoreUnreachable reports whether requests to the key-value store get no response. Users
	// are then told at once to try again, possibly at another controller.
	StoreUnreachable() bool
	// ForwardSubmission has a peer handle a submission. It returns false if no peer can.
	ForwardSubmission(requestID uint64, spec *protocol.Job) bool
	// AnnounceCancellation notifies the leader of a cancellation that has been stored.
	AnnounceCancellation(jobID protocol.JobID)
	// CancellationConfirmed is called before a user is told that a job is cancelled.
	CancellationConfirmed(jobID protocol.JobID)
	// NotifyPeers is described at answers.Environment.
	NotifyPeers(state answers.State) (id uint64, awaited []protocol.NodeName)
}

// Budgets limit the requests to the key-value store that are made for users.
type Budgets interface {
	AllowsUserRead(now time.Time) bool
	// TakeUserWrite reports whether a write is allowed, and counts it if so.
	TakeUserWrite(now time.Time) bool
}

// Delivery says to which request a reply belongs, and what keeps it in order with other replies about
// the same job.
type Delivery struct {
	RequestID uint64
	Job       protocol.JobID
	// Expires is the time from which the reply may no longer be sent, or zero.
	Expires time.Time
}

// Replies sends the replies to users' requests, one for each request ID.
type Replies interface {
	// Created: the job was new and is stored.
	Created(to Delivery, accepted protocol.Accepted)
	// Accepted: the submitted job was already known, or the job to cancel is cancelled or
	// finished.
	Accepted(to Delivery, accepted protocol.Accepted)
	// Status replies with the state of a job.
	Status(to Delivery, status protocol.Status)
	// UnknownJob: there is no such job.
	UnknownJob(to Delivery)
	// Unrunnable: the job can never run.
	Unrunnable(to Delivery, reason string)
	// Forwarded passes on a peer's response.
	Forwarded(to Delivery, response protocol.PeerResponse)
	// Unavailable: the request cannot be handled now.
	Unavailable(requestID uint64, reason string)
}

// Service handles the users' requests that one controller receives.
type Service struct {
	env           Environment
	mirror        *storage.Mirror
	replies       *responder
	finished      *finishedJobs
	queries       *statusQueries
	submissions   *submissions
	cancellations *cancellations
}

// New returns a service that reads mirror and types, which the caller keeps up to date.
func New(cfg *config.Config, types map[protocol.MachineTypeName]*protocol.MachineType, mirror *storage.Mirror,
	store kv.Client, budgets Budgets, replies Replies, env Environment) *Service {
	confirmed := &confirmedCancellations{cfg: cfg, env: env, jobs: map[protocol.JobID]time.Time{}}
	responder := &responder{replies: replies, env: env, gate: answers.NewGate(env), confirmed: confirmed}
	finished := &finishedJobs{env: env, states: map[protocol.JobID]answers.State{}}
	lookups := &lookups{store: store, env: env, replies: responder, finished: finished}
	responder.lookups = lookups
	queries := &statusQueries{cfg: cfg, mirror: mirror, store: store, budgets: budgets, env: env,
		replies: responder, finished: finished, lookups: lookups}
	responder.queries = queries
	return &Service{
		env: env, mirror: mirror, replies: responder, finished: finished, queries: queries,
		submissions: &submissions{cfg: cfg, mirror: mirror, store: store, budgets: budgets, env: env,
			replies: responder, finished: finished, lookups: lookups, queries: queries,
			runnable: &runnableCheck{cfg: cfg, types: types}},
		cancellations: &cancellations{mirror: mirror, store: store, budgets: budgets, env: env,
			replies: responder, finished: finished, lookups: lookups},
	}
}

// Submit handles a submission: it stores the job unless the job is already known.
func (s *Service) Submit(requestID uint64, spec *protocol.Job) {
	s.submissions.answer(newRequest(requestID, submission, spec.ID, s.env.Now()), spec)
}

// Query handles a status query.
func (s *Service) Query(requestID uint64, jobID protocol.JobID) {
	s.queries.answer(newRequest(requestID, statusQuery, jobID, s.env.Now()))
}

// Cancel handles a cancellation: it marks the job as cancelled unless the job is finished.
func (s *Service) Cancel(requestID uint64, jobID protocol.JobID) {
	s.cancellations.answer(newRequest(requestID, cancellation, jobID, s.env.Now()))
}

// Forwarded passes on the response of a peer to a request that was forwarded to it at the given time.
// The peer has settled what it tells. Meanwhile, this controller may have learnt of a newer state.
func (s *Service) Forwarded(requestID uint64, jobID protocol.JobID, sentAt time.Time, response protocol.PeerResponse) {
	s.replies.forward(requestID, jobID, sentAt, response)
}

// ReceiveNotice records the state of a job that a peer is about to tell. It returns true if the peer may
// rely on that this controller sends no older answer from now on.
func (s *Service) ReceiveNotice(status protocol.Status) bool {
	return s.replies.gate.ReceiveNotice(answers.State{Status: status})
}

// ConfirmNotice records that a peer has confirmed a notice.
func (s *Service) ConfirmNotice(from protocol.NodeName, id uint64) { s.replies.gate.Confirm(from, id) }

// Tick sends the answers that no peer contradicts any more. If that is due, it compares the mirror with
// the store for the waiting status queries, and answers them.
func (s *Service) Tick() {
	s.replies.gate.Tick(s.mirror.KnownRevision())
	s.queries.check()
}

// Overtaken returns the number of answers that were about to be older than one that was told before,
// and were replaced by the newer state.
func (s *Service) Overtaken() uint64 { return s.replies.overtaken }

// Shed returns the number of requests that were refused because of overload.
func (s *Service) Shed() uint64 { return s.replies.shed }

// Unconfirmed returns the number of states that were told without the confirmation of every peer, once
// none could tell an older one any more.
func (s *Service) Unconfirmed() uint64 { return s.replies.gate.Unconfirmed() }

// Due calls wakeBy with the time of the next check of status queries, if any are waiting, and with the
// times at which answers are sent that some peers do not confirm.
func (s *Service) Due(wakeBy func(time.Time)) {
	s.queries.due(wakeBy)
	s.replies.gate.Due(wakeBy)
}

// JobFinished caches the final state of a job.
func (s *Service) JobFinished(jobID protocol.JobID, final storage.FinalRecord) {
	s.finished.add(jobID, final, 0)
}

// ConfirmedCancellations returns, sorted by ID, the jobs that users were told are cancelled
// and whose cancellation may not have taken effect yet.
func (s *Service) ConfirmedCancellations() []protocol.JobID { return s.replies.confirmed.list() }
