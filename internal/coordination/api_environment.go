package coordination

import (
	"time"

	"github.com/gappond/gappond/internal/coordination/answers"
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

// AnnounceCancellation implements api.Environment. It tells the leader at once, because the
// leader's watch shows the cancellation later, or only once the store serves the leader again.
func (ae apiEnvironment) AnnounceCancellation(jobID protocol.JobID) { ae.n.announceCancellation(jobID) }

// CancellationConfirmed implements api.Environment. If this node leads, it cancels the job in the
// leader's state, which may not show the cancellation yet: the user's request may have read it
// from the store while the watch hangs.
func (ae apiEnvironment) CancellationConfirmed(jobID protocol.JobID) {
	if ae.n.ownLeader != nil {
		ae.n.ownLeader.cancelByID(jobID)
	}
}

// NotifyPeers implements api.Environment. Peers that run an earlier version cannot be asked, and their
// answers are in no order with those of others.
func (ae apiEnvironment) NotifyPeers(state answers.State) (id uint64, awaited []protocol.NodeName) {
	n := ae.n
	n.nextID++
	notice := protocol.PeerAnswerNotice{ID: n.nextID, Origin: n.cfg.Name,
		Job: state.Status.ID, Phase: state.Status.Phase, Done: uint64(state.Status.Done)}
	for _, peer := range n.cfg.Peers {
		if n.peers.RunsEarlierVersion(peer.Name, protocol.FeatureLevelOrderedAnswers) {
			continue
		}
		notice.Target = peer.Name
		n.peers.SendSupported(peer.Name, protocol.FeatureLevelOrderedAnswers, notice)
		awaited = append(awaited, peer.Name)
	}
	return notice.ID, awaited
}
