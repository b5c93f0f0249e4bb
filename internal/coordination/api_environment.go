package coordination

import (
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// apiEnvironment implements api.Environment.
type apiEnvironment struct{ n *Node }

// Now implements api.Environment.
func (ae apiEnvironment) Now() time.Time { return ae.n.now }

// UniqueName implements api.Environment.
func (ae apiEnvironment) UniqueName() string { return ae.n.uniqueName() }

// StoreUnreachable implements api.Environment.
func (ae apiEnvironment) StoreUnreachable() bool {
	return ae.n.storeAccess.unreachable(ae.n.now)
}

// ForwardSubmission implements api.Environment.
func (ae apiEnvironment) ForwardSubmission(requestID uint64, spec *protocol.Job) bool {
	return ae.n.forwarder.ForwardRequest(requestID, submissionRequest(spec))
}

// AnnounceCancellation implements api.Environment: a leader need not wait for its watch, or
// for the store to serve it again.
func (ae apiEnvironment) AnnounceCancellation(jobID protocol.JobID) { ae.n.announceCancellation(jobID) }

// CancellationConfirmed implements api.Environment: this node's own leader may have to be
// told, for the cancellation may have been read while its watch hangs.
func (ae apiEnvironment) CancellationConfirmed(jobID protocol.JobID) {
	if ae.n.ownLeader != nil {
		ae.n.ownLeader.cancelByID(jobID)
	}
}
