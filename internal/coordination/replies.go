package coordination

import (
	"net/http"
	"time"

	"github.com/gappond/gappond/internal/bookkeeping"
	"github.com/gappond/gappond/internal/protocol"
)

// The replies to users and agents, and the HTTP statuses that stand for them, which are
// named nowhere else in this package. Replies of users' requests are methods of the node
// by the request's number; each request gets one.

// replyCreated tells a user that a job was new and is stored.
func (n *Node) replyCreated(id uint64, accepted protocol.Accepted) {
	n.replyAcceptedAs(id, http.StatusCreated, accepted)
}

// replyAccepted tells a user that a submission or a cancellation stands.
func (n *Node) replyAccepted(id uint64, accepted protocol.Accepted) {
	n.replyAcceptedAs(id, http.StatusOK, accepted)
}

func (n *Node) replyAcceptedAs(id uint64, status int, accepted protocol.Accepted) {
	n.noteIfCancelled(accepted.ID, accepted.Phase)
	n.answer(Reply{ID: id, Status: status, Body: bookkeeping.Encode(accepted)})
}

// replyStatus tells a user the state of a job.
func (n *Node) replyStatus(id uint64, status protocol.Status) {
	n.noteIfCancelled(status.ID, status.Phase)
	n.answer(Reply{ID: id, Status: http.StatusOK, Body: bookkeeping.Encode(status)})
}

// replyUnknownJob tells a user that there is no such job.
func (n *Node) replyUnknownJob(id uint64) { n.replyError(id, http.StatusNotFound, "no such job") }

// replyMalformed refuses a request that cannot be read.
func (n *Node) replyMalformed(id uint64, reason string) {
	n.replyError(id, http.StatusBadRequest, reason)
}

// replyUnrunnable refuses a job that can never run.
func (n *Node) replyUnrunnable(id uint64, reason string) {
	n.replyError(id, http.StatusUnprocessableEntity, reason)
}

func (n *Node) replyError(id uint64, status int, reason string) {
	n.answer(Reply{ID: id, Status: status, Body: bookkeeping.Encode(protocol.ErrorBody{Error: reason})})
}

// refuse answers at once that the request cannot be taken now.
func (n *Node) refuse(id uint64, reason string) {
	n.answer(Reply{ID: id, Status: http.StatusServiceUnavailable,
		Body: bookkeeping.Encode(protocol.ErrorBody{Error: reason}), RetryAfter: time.Second})
}

// replyForwarded passes on what a peer answered to a forwarded request.
func (n *Node) replyForwarded(id uint64, answer protocol.PeerAnswer) {
	reply := Reply{ID: id, Status: int(answer.Status), Body: answer.Body}
	if reply.Status == http.StatusServiceUnavailable {
		reply.RetryAfter = time.Second
	}
	n.answer(reply)
}

// heartbeatReply answers an agent's heartbeat: with commands, a redirect or a refusal.
type heartbeatReply struct {
	status int
	body   []byte
}

// heartbeatAnswer is the leader's answer with commands.
func heartbeatAnswer(answer protocol.ReportAnswer) heartbeatReply {
	return heartbeatReply{http.StatusOK, bookkeeping.Encode(answer)}
}

// heartbeatRedirect sends an agent to another controller; to whichever it likes if that is "".
func heartbeatRedirect(to protocol.NodeName) heartbeatReply {
	return heartbeatReply{http.StatusMisdirectedRequest, bookkeeping.Encode(protocol.Redirect{ReportTo: to})}
}

// heartbeatRefusal tells an agent that its heartbeat has no effect; it sends another.
func heartbeatRefusal(reason string) heartbeatReply {
	return heartbeatReply{http.StatusServiceUnavailable, bookkeeping.Encode(protocol.ErrorBody{Error: reason})}
}

// replyHeartbeat answers an agent that reports to this node.
func (n *Node) replyHeartbeat(id uint64, reply heartbeatReply) {
	n.answer(Reply{ID: id, Status: reply.status, Body: reply.body})
}
