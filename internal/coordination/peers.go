package coordination

import (
	"github.com/gappond/gappond/internal/coordination/agents"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// What a user's forwarded request asks for.
const (
	operationSubmit = "submit"
	operationQuery  = "query"
	operationCancel = "cancel"
)

// submissionRequest is a submission on its way to a peer.
func submissionRequest(spec *protocol.Job) protocol.PeerUserRequest {
	return protocol.PeerUserRequest{Operation: operationSubmit, Job: spec.ID, Body: storage.Encode(spec)}
}

// forwardIfStoreUnavailable sends a user's request on to a peer that the store serves while it does
// not serve this node.
func (n *Node) forwardIfStoreUnavailable(requestID uint64, request protocol.PeerUserRequest) bool {
	return !n.storeAccess.servedWithin(n.now, tuning.MaxStoreServedAge) && n.forwarder.ForwardRequest(requestID, request)
}

// tickPeers handles what waits for other controllers, and tells them this node's status.
func (n *Node) tickPeers() {
	late := n.forwarder.ExpiryDue()
	n.router.RouteQueued(late)
	if late {
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

// receive takes a message that came over a link.
func (n *Node) receive(from protocol.NodeName, link uint64, message protocol.PeerMessage) {
	if !n.peers.Receive(from, link, message) {
		return
	}
	switch message := message.(type) {
	case protocol.PeerConfirmationRequest:
		answer := n.election.Confirm(message, n.now.Sub(n.startedAt), n.api.ConfirmedCancellations())
		n.out = append(n.out, PeerSend{Peer: from, Message: answer})
	case protocol.PeerConfirmation:
		n.election.ReceiveConfirmation(from, message)
	default:
		n.deliver(message)
	}
}

// deliver takes a message that came over a link or through the store.
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
	case protocol.PeerResponse:
		if m.Target != n.cfg.Name {
			m.Hops++
			n.peers.ForwardMessage(m.Target, m.Hops, m)
			return
		}
		n.forwarder.HandleResponse(m)
	}
}

// handleForwardedRequest answers a user's request that a peer sent on.
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

// announceCancellation tells the leader of a cancellation that is in the records, so that
// it need not wait for its watch, or for the store to serve it again.
func (n *Node) announceCancellation(jobID protocol.JobID) {
	if n.ownLeader != nil {
		n.ownLeader.cancelByID(jobID)
		return
	}
	if to := n.election.Holder(); n.peers.Supports(to, protocol.FeatureLevelCancellations) {
		n.out = append(n.out, PeerSend{Peer: to, Message: protocol.PeerCancellation{Job: jobID}})
	}
}

// respondToHeartbeat is the leader's answer to a heartbeat, forwarded or not.
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

// processHeartbeat takes a heartbeat if this node leads.
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
