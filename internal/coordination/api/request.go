package api

import (
	"time"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// requestKind is the kind of a user's request.
type requestKind int

const (
	statusQuery requestKind = iota
	submission
	cancellation
)

// request is a user's request that waits for its reply.
type request struct {
	id       uint64
	kind     requestKind
	job      protocol.JobID
	deadline time.Time // until when the store is asked
	// unrunnable is the reason why the submitted job can never run, "" if it can. A job that is
	// known nevertheless was accepted earlier.
	unrunnable string
	created    bool // the submission has stored the job
}

// newRequest returns a request that arrives now.
func newRequest(id uint64, kind requestKind, job protocol.JobID, now time.Time) request {
	return request{id: id, kind: kind, job: job, deadline: now.Add(tuning.UserRequestTimeout)}
}
