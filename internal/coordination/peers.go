package coordination

import (
	"github.com/gappond/gappond/internal/coordination/agents"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// The operations of forwarded user requests. The values are sent to peers.
const (
	operationSubmit = "submit"
	operationQuery  = "query"
	operationCancel = "cancel"
)

// submissionRequest returns the message that forwards a submission to a peer.
func submissionRequest(spec *protocol.Job) protocol.PeerUserRequest {
	return protocol.PeerUserRequest{Operation: operationSubmit, Job: spec.ID, Body: storage.Encode(spec)}
}

// forwardIfStoreUnavailable forwards a user's request to a peer with access to the store, if the
// store does not serve this node. It reports whether the request was forwarded.
func (n *Node) forwardIfStoreUnavailable(requestID uint64, request protocol.PeerUserRequest) bool {
	return !n.storeAccess.servedWithin(n.now, tuning.MaxStoreServedAge) && n.forwarder.ForwardRequest(requestID, request)
}

// tickPeers routes heartbeats that wait for a leader, expires forwarded requests without a response
// and sends the peers this node's status.
func (n *Node) tickPeers() {
	expiryDue := n.forwarder.ExpiryDue()
	n.router.RouteQueued(expiryDue)
	if expiryDue {
		n.forwarder.Expire()
	}
	if !n.peers.HeartbeatDue() {
		return
	}
	n.router.PruneContacts()
	status := protocol.PeerStatus{Term: n.election.HolderTerm(), Leader: n.election.Holder(), HasStoreAccess: n.storeAccess.servedWithin(n.now, tuning.MaxStoreServedAge)}
	if n.ownLeader != nil {
		status.DirectShare = n.ownLeader.directShare()
	}
	n.peers.SendHeartbeats(status)
}

// receive handles a message that arrived on a link.
func (n *Node) receive(from protocol.NodeName, link uint64, message protocol.PeerMessage) {
	if !n.peers.Receive(from, link, message) {
		return
	}
	switch message := message.(type) {
	case protocol.PeerConfirmationRequest:
		confirmation := n.election.Confirm(message, n.now.Sub(n.startedAt), n.api.ConfirmedCancellations())
		n.out = append(n.out, PeerSend{Peer: from, Message: confirmation})
	case protocol.PeerConfirmation:
		n.election.ReceiveConfirmation(from, message)
	default:
		n.deliver(message)
	}
}

// deliver handles a message that arrived on a link or was relayed through the store.
func (n *Node) deliver(message protocol.PeerMessage) {
	switch m := message.(type) {
	case protocol.PeerForwardedHeartbeat:
		if m.Target != n.cfg.Name {
			m.Hops++
			n.peers.ForwardMessage(m.Target, m.Hops, m)
			return
		}
		reply := n.respondToHeartbeat(m.Heartbeat)
		n.peers.Send(m.Origin, protocol.PeerResponse{ID: m.ID, Target: m.Origin, Status: uint64(reply.status), Body: reply.body})
	case protocol.PeerUserRequest:
		n.handleForwardedRequest(m)
	case protocol.PeerAgentCall:
		n.callAgentFor(m)
	case protocol.PeerCancellation:
		if n.ownLeader != nil {
			n.ownLeader.cancelByID(m.Job)
		}
	case protocol.PeerAnswerNotice:
		n.receiveAnswerNotice(m)
	case protocol.PeerAnswerConfirmation:
		if m.Target != n.cfg.Name {
			m.Hops++
			n.peers.ForwardSupported(m.Target, m.Hops, protocol.FeatureLevelOrderedAnswers, m)
			return
		}
		n.api.ConfirmNotice(m.Origin, m.ID)
	case protocol.PeerResponse:
		if m.Target != n.cfg.Name {
			m.Hops++
			n.peers.ForwardMessage(m.Target, m.Hops, m)
			return
		}
		n.forwarder.HandleResponse(m)
	}
}

// handleForwardedRequest handles a user's request that a peer forwarded.
func (n *Node) handleForwardedRequest(request protocol.PeerUserRequest) {
	id := n.forwarder.ReceiveRequest(request)
	switch request.Operation {
	case operationSubmit:
		spec, err := protocol.ParseJob(request.Body)
		if err != nil {
			userReplies{n}.Malformed(id, err.Error())
			return
		}
		n.api.Submit(id, spec)
	case operationQuery:
		n.api.Query(id, request.Job)
	case operationCancel:
		n.api.Cancel(id, request.Job)
	default:
		userReplies{n}.Unavailable(id, "unknown request")
	}
}

// receiveAnswerNotice records what a peer is about to tell a user, and confirms it, or passes the notice
// on to another peer.
func (n *Node) receiveAnswerNotice(m protocol.PeerAnswerNotice) {
	if m.Target != n.cfg.Name {
		m.Hops++
		n.peers.ForwardSupported(m.Target, m.Hops, protocol.FeatureLevelOrderedAnswers, m)
		return
	}
	if !n.api.ReceiveNotice(protocol.Status{ID: m.Job, Phase: m.Phase, Done: int(m.Done)}) {
		return
	}
	confirmation := protocol.PeerAnswerConfirmation{ID: m.ID, Origin: n.cfg.Name, Target: m.Origin, Job: m.Job}
	n.peers.SendSupported(m.Origin, protocol.FeatureLevelOrderedAnswers, confirmation)
}

// announceCancellation tells the leader of a cancellation that is in the records. The leader's
// watch shows it later, or only once the store serves the leader again.
func (n *Node) announceCancellation(jobID protocol.JobID) {
	if n.ownLeader != nil {
		n.ownLeader.cancelByID(jobID)
		return
	}
	if leader := n.election.Holder(); n.peers.Supports(leader, protocol.FeatureLevelCancellations) {
		n.out = append(n.out, PeerSend{Peer: leader, Message: protocol.PeerCancellation{Job: jobID}})
	}
}

// respondToHeartbeat handles a heartbeat, forwarded or not, and returns the response to it.
func (n *Node) respondToHeartbeat(heartbeat *protocol.Heartbeat) heartbeatReply {
	result := n.processHeartbeat(heartbeat)
	switch result.Outcome {
	case agents.Accepted:
		return acceptedHeartbeat(protocol.HeartbeatResponse{FencingToken: result.FencingToken, Commands: result.Commands})
	case agents.Stale:
		return refusedHeartbeat("an older report")
	case agents.HigherToken:
		return refusedHeartbeat("a higher token than this leader's")
	case agents.LeadershipUnconfirmed:
		return refusedHeartbeat("not sure to lead")
	}
	return redirectedHeartbeat("")
}

// processHeartbeat accepts a heartbeat if this node leads, and returns the result.
func (n *Node) processHeartbeat(heartbeat *protocol.Heartbeat) agents.HeartbeatResult {
	switch {
	case n.ownLeader == nil || !n.election.HasAuthority():
		return agents.HeartbeatResult{Outcome: agents.NotLeading}
	case n.ownLeader.agents.Heartbeats.RefuseHigherToken(heartbeat):
		return agents.HeartbeatResult{Outcome: agents.HigherToken}
	case !n.election.LeaseConfirmed():
		return agents.HeartbeatResult{Outcome: agents.LeadershipUnconfirmed}
	}
	return n.ownLeader.agents.Heartbeats.Accept(heartbeat)
}
