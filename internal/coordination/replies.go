package coordination

import (
	"net/http"
	"time"

	"github.com/gappond/gappond/internal/coordination/api"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
)

// This file has all replies to users and agents. No other file of this package sets their HTTP
// statuses.

// userReplies implements api.Replies.
type userReplies struct{ n *Node }

// Created implements api.Replies.
func (ur userReplies) Created(to api.Delivery, accepted protocol.Accepted) {
	ur.reply(to, http.StatusCreated, storage.Encode(accepted))
}

// Accepted implements api.Replies.
func (ur userReplies) Accepted(to api.Delivery, accepted protocol.Accepted) {
	ur.reply(to, http.StatusOK, storage.Encode(accepted))
}

// Status implements api.Replies.
func (ur userReplies) Status(to api.Delivery, status protocol.Status) {
	ur.reply(to, http.StatusOK, storage.Encode(status))
}

// UnknownJob implements api.Replies.
func (ur userReplies) UnknownJob(to api.Delivery) {
	ur.reply(to, http.StatusNotFound, errorBody("no such job"))
}

// Unrunnable implements api.Replies.
func (ur userReplies) Unrunnable(to api.Delivery, reason string) {
	ur.reply(to, http.StatusUnprocessableEntity, errorBody(reason))
}

// Malformed refuses a request that cannot be parsed.
func (ur userReplies) Malformed(requestID uint64, reason string) {
	ur.reply(api.Delivery{RequestID: requestID}, http.StatusBadRequest, errorBody(reason))
}

// Unavailable implements api.Replies.
func (ur userReplies) Unavailable(requestID uint64, reason string) {
	ur.reply(api.Delivery{RequestID: requestID}, http.StatusServiceUnavailable, errorBody(reason))
}

// Forwarded implements api.Replies. It also passes on responses to agents' heartbeats.
func (ur userReplies) Forwarded(to api.Delivery, response protocol.PeerResponse) {
	ur.reply(to, int(response.Status), response.Body)
}

// reply replies to a user's request. A request that cannot be handled now may be repeated after a second.
func (ur userReplies) reply(to api.Delivery, status int, body []byte) {
	reply := Reply{ID: to.RequestID, Status: status, Body: body, Job: to.Job, Expires: to.Expires}
	if status == http.StatusServiceUnavailable {
		reply.RetryAfter = time.Second
	}
	ur.n.answer(reply)
}

// errorBody returns the body of a response that names the reason of an error.
func errorBody(reason string) []byte { return storage.Encode(protocol.ErrorBody{Error: reason}) }

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
	return heartbeatReply{http.StatusServiceUnavailable, errorBody(reason)}
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
