package api

import (
	"net/http"
	"time"

	"github.com/gappond/gappond/internal/coordination/answers"
	"github.com/gappond/gappond/internal/protocol"
)

// Reasons why a request cannot be handled now.
const (
	reasonStarting           = "starting"
	reasonStoreUnreachable   = "state service out of reach"
	reasonStoreNotResponding = "state service does not answer"
	reasonMalformedRecord    = "record does not parse"
	reasonBusy               = "busy"
	reasonTryAgain           = "try again"
)

// responder sends all replies. It sends no reply that is older than one that was sent before, records
// each cancellation before a user is told of it, and counts the requests that are refused because of
// overload.
type responder struct {
	replies   Replies
	env       Environment
	gate      *answers.Gate
	lookups   *lookups
	queries   *statusQueries
	confirmed *confirmedCancellations
	shed      uint64
	overtaken uint64
}

// tell replies to a request with the state of its job once no controller will tell an older one, or with
// a newer state if a user has been told that meanwhile.
func (r *responder) tell(req request, state answers.State) {
	switch r.gate.Check(state) {
	case answers.Overtaken:
		r.overtaken++
		r.tellNewer(req)
		return
	case answers.Outdated:
		r.renew(req, state)
		return
	case answers.Overloaded:
		r.shedLoad(req)
		return
	}
	if !r.gate.Settled(state) {
		r.gate.Settle(state, func() { r.tell(req, state) })
		return
	}
	r.send(req, state)
}

// tellNewer replies to a request with a state that is newer than the one that was read for it.
func (r *responder) tellNewer(req request) {
	if final, ok := r.gate.Finished(req.job); ok {
		r.tell(req, final)
		return
	}
	r.readAgain(req)
}

// renew asks the store again for a state that was read too long ago to be told.
func (r *responder) renew(req request, state answers.State) {
	if state.Stage() == answers.Unknown && r.env.Now().Before(req.deadline) {
		r.lookups.confirmUnknown(req)
		return
	}
	r.readAgain(req)
}

// readAgain asks the store for the state of a request's job once more, together with other requests if
// that is possible.
func (r *responder) readAgain(req request) {
	if !r.env.Now().Before(req.deadline) {
		r.unavailable(req, reasonTryAgain)
		return
	}
	r.queries.checkOrRead(req)
}

// send replies to a request.
func (r *responder) send(req request, state answers.State) {
	r.gate.Raise(state)
	status := state.Status
	r.confirmed.recordIfCancelled(status.ID, status.Phase)
	accepted := protocol.Accepted{ID: status.ID, Phase: status.Phase}
	to := Delivery{RequestID: req.id, Job: status.ID, Expires: state.Expires()}
	switch {
	case state.Stage() == answers.Unknown:
		r.sendUnknown(req, to)
	case req.kind == statusQuery:
		r.replies.Status(to, status)
	case req.kind == cancellation && state.Stage() != answers.Finished:
		r.unavailable(req, reasonTryAgain)
	case req.created && state.Stage() == answers.Accepted:
		r.replies.Created(to, accepted)
	default:
		r.replies.Accepted(to, accepted)
	}
}

// sendUnknown replies to a request about a job that is not known.
func (r *responder) sendUnknown(req request, to Delivery) {
	switch {
	case req.kind != submission:
		r.replies.UnknownJob(to)
	case req.unrunnable != "":
		r.replies.Unrunnable(to, req.unrunnable)
	default:
		r.unavailable(req, reasonTryAgain)
	}
}

// forward passes on a peer's response to a request that was forwarded at the given time, unless it is
// older than what users have been told meanwhile, or may be. The peer read the state after that time.
func (r *responder) forward(requestID uint64, jobID protocol.JobID, sentAt time.Time, response protocol.PeerResponse) {
	to := Delivery{RequestID: requestID, Job: jobID}
	state, ok := forwardedState(jobID, response)
	if ok {
		state.SentAt = sentAt
		to.Expires = state.Expires()
		if r.gate.Check(state) != answers.Current {
			r.replies.Unavailable(requestID, reasonTryAgain)
			return
		}
		r.gate.Raise(state)
		r.confirmed.recordIfCancelled(jobID, state.Status.Phase)
	}
	r.replies.Forwarded(to, response)
}

// forwardedState returns the state that a peer's response tells, and false if it tells none.
func forwardedState(jobID protocol.JobID, response protocol.PeerResponse) (state answers.State, ok bool) {
	switch response.Status {
	case http.StatusOK, http.StatusCreated:
		if protocol.Unmarshal(response.Body, &state.Status) != nil || state.Status.Phase == "" {
			return state, false
		}
	case http.StatusNotFound, http.StatusUnprocessableEntity:
	default:
		return state, false
	}
	state.Status.ID = jobID
	return state, true
}

// unavailable replies that a request cannot be handled now.
func (r *responder) unavailable(req request, reason string) { r.replies.Unavailable(req.id, reason) }

// refuseIfUnavailable refuses a request at once while the controller is starting or the store
// does not respond to it. It reports whether it has refused the request.
func (r *responder) refuseIfUnavailable(req request, started bool) bool {
	switch {
	case !started:
		r.unavailable(req, reasonStarting)
	case r.env.StoreUnreachable():
		r.unavailable(req, reasonStoreUnreachable)
	default:
		return false
	}
	return true
}

// shedLoad refuses a request because of overload, and counts it.
func (r *responder) shedLoad(req request) {
	r.shed++
	r.unavailable(req, reasonBusy)
}
