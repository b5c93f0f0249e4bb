package coordination

import (
	"net/http"
	"time"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
)

// This file has all replies to users and agents. No other file of this package sets their HTTP
// statuses.

// userReplies implements api.Replies.
type userReplies struct{ n *Node }

// Created implements api.Replies.
func (ur userReplies) Created(requestID uint64, accepted protocol.Accepted) {
	ur.n.answer(Reply{ID: requestID, Status: http.StatusCreated, Body: storage.Encode(accepted)})
}

// Accepted implements api.Replies.
func (ur userReplies) Accepted(requestID uint64, accepted protocol.Accepted) {
	ur.n.answer(Reply{ID: requestID, Status: http.StatusOK, Body: storage.Encode(accepted)})
}

// Status implements api.Replies.
func (ur userReplies) Status(requestID uint64, status protocol.Status) {
	ur.n.answer(Reply{ID: requestID, Status: http.StatusOK, Body: storage.Encode(status)})
}

// UnknownJob implements api.Replies.
func (ur userReplies) UnknownJob(requestID uint64) {
	ur.fail(requestID, http.StatusNotFound, "no such job")
}

// Unrunnable implements api.Replies.
func (ur userReplies) Unrunnable(requestID uint64, reason string) {
	ur.fail(requestID, http.StatusUnprocessableEntity, reason)
}

// Malformed refuses a request that cannot be parsed.
func (ur userReplies) Malformed(requestID uint64, reason string) {
	ur.fail(requestID, http.StatusBadRequest, reason)
}

// Unavailable implements api.Replies.
func (ur userReplies) Unavailable(requestID uint64, reason string) {
	ur.n.answer(Reply{ID: requestID, Status: http.StatusServiceUnavailable,
		Body: storage.Encode(protocol.ErrorBody{Error: reason}), RetryAfter: time.Second})
}

// Forwarded passes on a peer's response to a forwarded request.
func (ur userReplies) Forwarded(requestID uint64, answer protocol.PeerResponse) {
	reply := Reply{ID: requestID, Status: int(answer.Status), Body: answer.Body}
	if reply.Status == http.StatusServiceUnavailable {
		reply.RetryAfter = time.Second
	}
	ur.n.answer(reply)
}

func (ur userReplies) fail(requestID uint64, status int, reason string) {
	ur.n.answer(Reply{ID: requestID, Status: status, Body: storage.Encode(protocol.ErrorBody{Error: reason})})
}

// heartbeatReply is the response to an agent's heartbeat: commands, a redirect or a refusal.
type heartbeatReply struct {
	status int
	body   []byte
}

// acceptedHeartbeat returns the leader's response, which carries commands.
func acceptedHeartbeat(response protocol.HeartbeatResponse) heartbeatReply {
	return heartbeatReply{http.StatusOK, storage.Encode(response)}
}

// redirectedHeartbeat redirects an agent to another controller, or to any other one if to is "".
func redirectedHeartbeat(to protocol.NodeName) heartbeatReply {
	return heartbeatReply{http.StatusMisdirectedRequest, storage.Encode(protocol.Redirect{Target: to})}
}

// refusedHeartbeat tells an agent that its heartbeat has no effect. The agent sends another one.
func refusedHeartbeat(reason string) heartbeatReply {
	return heartbeatReply{http.StatusServiceUnavailable, storage.Encode(protocol.ErrorBody{Error: reason})}
}

// heartbeatReplies implements membership.HeartbeatReplies.
type heartbeatReplies struct{ n *Node }

// Answer implements membership.HeartbeatReplies.
func (hr heartbeatReplies) Answer(requestID uint64, heartbeat *protocol.Heartbeat) {
	hr.reply(requestID, hr.n.respondToHeartbeat(heartbeat))
}

// Redirect implements membership.HeartbeatReplies.
func (hr heartbeatReplies) Redirect(requestID uint64, to protocol.NodeName) {
	hr.reply(requestID, redirectedHeartbeat(to))
}

// Refuse implements membership.HeartbeatReplies.
func (hr heartbeatReplies) Refuse(requestID uint64, reason string) {
	hr.reply(requestID, refusedHeartbeat(reason))
}

func (hr heartbeatReplies) reply(requestID uint64, reply heartbeatReply) {
	hr.n.answer(Reply{ID: requestID, Status: reply.status, Body: reply.body})
}
