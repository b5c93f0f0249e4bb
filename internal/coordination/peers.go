package coordination

import (
	"github.com/gappond/gappond/internal/coordination/agents"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// What a user's forwarded request asks for.
const (
	verbSubmit = "submit"
	verbQuery  = "query"
	verbCancel = "cancel"
)

// submission is a submission on its way to a peer.
func submission(spec *protocol.Job) protocol.PeerUserRequest {
	return protocol.PeerUserRequest{Operation: verbSubmit, Job: spec.ID, Body: storage.Encode(spec)}
}

// forwardIfUnserved sends a user's request on to a peer that the store serves while it does
// not serve this node.
func (n *Node) forwardIfUnserved(requestID uint64, request protocol.PeerUserRequest) bool {
	return !n.storeContact.servedWithin(n.now, tuning.MaxStoreServedAge) && n.forwarder.ForwardRequest(requestID, request)
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
	n.router.ForgetContacts()
	status := protocol.PeerStatus{Term: n.election.HolderTerm(), Leader: n.election.Holder(), StateOK: n.storeContact.servedWithin(n.now, tuning.MaxStoreServedAge)}
	if n.lead != nil {
		status.DirectShare = n.lead.directShare()
	}
	n.peers.SendHeartbeats(status)
}

// receive takes a message that came over a link.
func (n *Node) receive(from protocol.NodeName, link uint64, message protocol.PeerMessage) {
	if !n.peers.Receive(from, link, message) {
		return
	}
	switch message := message.(type) {
	case protocol.PeerConfirmRequest:
		answer := n.election.Confirm(message, n.now.Sub(n.began), n.api.ConfirmedCancellations())
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
			n.peers.PassAlong(m.Target, m.Hops, m)
			return
		}
		reply := n.takeHeartbeat(m.Heartbeat)
		n.peers.Send(m.Origin, protocol.PeerResponse{ID: m.ID, Target: m.Origin, Status: uint64(reply.status), Body: reply.body})
	case protocol.PeerUserRequest:
		n.handleForwarded(m)
	case protocol.PeerAgentCall:
		n.callFor(m)
	case protocol.PeerCancellation:
		if n.lead != nil {
			n.lead.cancelFromPeer(m.Job)
		}
	case protocol.PeerResponse:
		if m.Target != n.cfg.Name {
			m.Hops++
			n.peers.PassAlong(m.Target, m.Hops, m)
			return
		}
		n.forwarder.HandleResponse(m)
	}
}

// handleForwarded answers a user's request that a peer sent on.
func (n *Node) handleForwarded(request protocol.PeerUserRequest) {
	id := n.forwarder.ReceiveRequest(request)
	switch request.Operation {
	case verbSubmit:
		spec, err := protocol.ParseJob(request.Body)
		if err != nil {
			userReplies{n}.Malformed(id, err.Error())
			return
		}
		n.api.Submit(id, spec)
	case verbQuery:
		n.api.Query(id, request.Job)
	case verbCancel:
		n.api.Cancel(id, request.Job)
	default:
		userReplies{n}.Unavailable(id, "unknown request")
	}
}

// announceCancellation tells the leader of a cancellation that is in the records, so that
// it need not wait for its watch, or for the store to serve it again.
func (n *Node) announceCancellation(jobID protocol.JobID) {
	if n.lead != nil {
		n.lead.cancelFromPeer(jobID)
		return
	}
	if to := n.election.Holder(); n.peers.Knows(to, protocol.PeerKnowsCancelled) {
		n.out = append(n.out, PeerSend{Peer: to, Message: protocol.PeerCancellation{Job: jobID}})
	}
}

// takeHeartbeat is the leader's answer to a heartbeat, forwarded or not.
func (n *Node) takeHeartbeat(heartbeat *protocol.Heartbeat) heartbeatReply {
	result := n.answerHeartbeat(heartbeat)
	switch result.Outcome {
	case agents.Accepted:
		return heartbeatAnswer(protocol.HeartbeatResponse{FencingToken: result.FencingToken, Commands: result.Commands})
	case agents.Stale:
		return heartbeatRefusal("an older report")
	case agents.HigherToken:
		return heartbeatRefusal("a higher token than this leader's")
	case agents.LeadershipUnconfirmed:
		return heartbeatRefusal("not sure to lead")
	}
	return heartbeatRedirect("")
}

// answerHeartbeat takes a heartbeat if this node leads.
func (n *Node) answerHeartbeat(heartbeat *protocol.Heartbeat) agents.HeartbeatResult {
	switch {
	case n.lead == nil || !n.election.HasAuthority():
		return agents.HeartbeatResult{Outcome: agents.NotLeading}
	case n.lead.agents.Heartbeats.RefuseHigherToken(heartbeat):
		return agents.HeartbeatResult{Outcome: agents.HigherToken}
	case !n.election.LeaseConfirmed():
		return agents.HeartbeatResult{Outcome: agents.LeadershipUnconfirmed}
	}
	return n.lead.agents.Heartbeats.Accept(heartbeat)
}
