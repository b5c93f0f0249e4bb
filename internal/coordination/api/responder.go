package api

import "github.com/gappond/gappond/internal/protocol"

// Reasons why a request cannot be taken now.
const (
	reasonStarting           = "starting"
	reasonStoreUnreachable   = "state service out of reach"
	reasonStoreNotResponding = "state service does not answer"
	reasonMalformedRecord    = "record does not parse"
	reasonBusy               = "busy"
	reasonTryAgain           = "try again"
)

// responder sends all replies. It records each cancellation before a user is told of it,
// and counts the requests that are turned away because too much is asked.
type responder struct {
	Replies
	env       Environment
	confirmed *confirmedCancellations
	shed      uint64
}

// Accepted implements Replies.
func (r *responder) Accepted(requestID uint64, accepted protocol.Accepted) {
	r.confirmed.recordIfCancelled(accepted.ID, accepted.Phase)
	r.Replies.Accepted(requestID, accepted)
}

// Status implements Replies.
func (r *responder) Status(requestID uint64, status protocol.Status) {
	r.confirmed.recordIfCancelled(status.ID, status.Phase)
	r.Replies.Status(requestID, status)
}

// refuseIfUnavailable refuses a request at once while the controller is starting or the store
// does not answer it.
func (r *responder) refuseIfUnavailable(requestID uint64, started bool) bool {
	switch {
	case !started:
		r.Unavailable(requestID, reasonStarting)
	case r.env.StoreUnreachable():
		r.Unavailable(requestID, reasonStoreUnreachable)
	default:
		return false
	}
	return true
}

// shedLoad turns a request away because too much is asked.
func (r *responder) shedLoad(requestID uint64) {
	r.shed++
	r.Unavailable(requestID, reasonBusy)
}
