package api

import (
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
	confirmed *confirmedCancellations
	shed      uint64
	overtaken uint64
}

// tell replies to a request with the state of its job, or with a newer one if a user has been told
// that meanwhile.
func (r *responder) tell(req request, state answers.State) {
	if r.gate.Check(state) != answers.Overtaken {
		r.send(req, state)
		return
	}
	r.overtaken++
	if final, ok := r.gate.Finished(req.job); ok {
		r.send(req, final)
		return
	}
	r.readAgain(req)
}

// readAgain reads the state of a request's job from the store, and replies with it.
func (r *responder) readAgain(req request) {
	if !r.env.Now().Before(req.deadline) {
		r.unavailable(req, reasonTryAgain)
		return
	}
	r.lookups.answer(req)
}

// send replies to a request.
func (r *responder) send(req request, state answers.State) {
	r.gate.Raise(state)
	status := state.Status
	r.confirmed.recordIfCancelled(status.ID, status.Phase)
	accepted := protocol.Accepted{ID: status.ID, Phase: status.Phase}
	switch {
	case state.Stage() == answers.Unknown:
		r.sendUnknown(req)
	case req.kind == statusQuery:
		r.replies.Status(req.id, status)
	case req.kind == cancellation && state.Stage() != answers.Finished:
		r.unavailable(req, reasonTryAgain)
	case req.created && state.Stage() == answers.Accepted:
		r.replies.Created(req.id, accepted)
	default:
		r.replies.Accepted(req.id, accepted)
	}
}

// sendUnknown replies to a request about a job that is not known.
func (r *responder) sendUnknown(req request) {
	switch {
	case req.kind != submission:
		r.replies.UnknownJob(req.id)
	case req.unrunnable != "":
		r.replies.Unrunnable(req.id, req.unrunnable)
	default:
		r.unavailable(req, reasonTryAgain)
	}
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
