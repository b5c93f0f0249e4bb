package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// ForwarderEnvironment is what a forwarder needs of the controller.
type ForwarderEnvironment interface {
	Now() time.Time
	// NextID numbers a request; no other request of this process has that number.
	NextID() uint64
	// Forwarded passes on a peer's answer to a forwarded request.
	Forwarded(requestID uint64, response protocol.PeerResponse)
	// Unavailable refuses a request that cannot be taken now.
	Unavailable(requestID uint64, reason string)
}

// Forwarder keeps account of what peers do for this controller and it for them: requests of
// users and agents that another controller answers, and calls to agents.
type Forwarder struct {
	self  protocol.NodeName
	peers *Peers
	env   ForwarderEnvironment

	forwarded    map[uint64]forwardedRequest // requests that peers answer
	received     map[uint64]receivedRequest  // requests of peers that this controller answers
	delegated    map[uint64]delegatedCall    // calls to agents that peers make
	nextExpiryAt time.Time                   // when they are checked for late ones
}

// forwardedRequest is a request that was sent on to a peer.
type forwardedRequest struct {
	requestID uint64
	deadline  time.Time
}

// receivedRequest is a request that a peer sent on to this controller.
type receivedRequest struct {
	origin protocol.NodeName
	id     uint64
}

// delegatedCall is a call to an agent that a peer makes for the leader. Status 0 stands for
// no answer.
type delegatedCall struct {
	done     func(status int, body []byte)
	deadline time.Time
}

// peerRequestBit marks the numbers of requests that peers sent on, which the transport does not
// know.
const peerRequestBit = 1 << 63

// NewForwarder makes a forwarder.
func NewForwarder(self protocol.NodeName, peers *Peers, env ForwarderEnvironment) *Forwarder {
	return &Forwarder{self: self, peers: peers, env: env,
		forwarded: map[uint64]forwardedRequest{}, received: map[uint64]receivedRequest{}, delegated: map[uint64]delegatedCall{}}
}

// ForwardRequest sends a user's request on to a peer that the store serves, to each in
// turn. What a peer sent here goes no further.
func (f *Forwarder) ForwardRequest(requestID uint64, request protocol.PeerUserRequest) bool {
	if requestID&peerRequestBit != 0 {
		return false
	}
	served := f.peers.NamesWithStoreAccess()
	if len(served) == 0 {
		return false
	}
	id := f.env.NextID()
	request.ID, request.Origin, request.Target = id, f.self, served[id%uint64(len(served))]
	f.forwarded[id] = forwardedRequest{requestID, f.env.Now().Add(tuning.UserRequestTimeout)}
	return f.peers.Send(request.Target, request)
}

// ForwardHeartbeat fetches the leader's answer to an agent's heartbeat; false if there is no
// way to the leader.
func (f *Forwarder) ForwardHeartbeat(requestID uint64, leader protocol.NodeName, heartbeat *protocol.Heartbeat, expire time.Time) bool {
	id := f.env.NextID()
	if !f.peers.Send(leader, protocol.PeerForwardedHeartbeat{ID: id, Origin: f.self, Target: leader, Heartbeat: heartbeat}) {
		return false
	}
	f.forwarded[id] = forwardedRequest{requestID, expire}
	return true
}

// Delegate has an agent's proxy send it commands, if all links are there: a call
// is a new connection mostly, which costs much of a small share of a core. What
// the peer does not answer in time may still be executed, as any command that
// was not answered. Probes are not delegated: they judge a machine.
func (f *Forwarder) Delegate(machineID protocol.MachineID, address string, body []byte, done func(status int, body []byte)) bool {
	if !f.peers.FullyConnected() {
		return false
	}
	id := f.env.NextID()
	f.delegated[id] = delegatedCall{done, f.env.Now().Add(tuning.ProbeTimeout + tuning.DelegatedCallMargin)}
	f.peers.Send(f.peers.ProxyFor(machineID, f.self, 0), protocol.PeerAgentCall{ID: id, Origin: f.self, Address: address, Body: body})
	return true
}

// ReceiveRequest numbers a request that a peer sent on to this controller.
func (f *Forwarder) ReceiveRequest(request protocol.PeerUserRequest) (requestID uint64) {
	requestID = f.env.NextID() | peerRequestBit
	f.received[requestID] = receivedRequest{request.Origin, request.ID}
	return requestID
}

// Respond sends the answer to a request to the peer that sent it on; false if none did.
func (f *Forwarder) Respond(requestID uint64, status int, body []byte) bool {
	from, ok := f.received[requestID]
	if ok {
		delete(f.received, requestID)
		f.peers.Send(from.origin, protocol.PeerResponse{ID: from.id, Target: from.origin, Status: uint64(status), Body: body})
	}
	return ok
}

// HandleResponse takes a peer's answer.
func (f *Forwarder) HandleResponse(response protocol.PeerResponse) {
	if call, ok := f.delegated[response.ID]; ok {
		delete(f.delegated, response.ID)
		call.done(int(response.Status), response.Body)
	} else if request, ok := f.forwarded[response.ID]; ok {
		delete(f.forwarded, response.ID)
		f.env.Forwarded(request.requestID, response)
	}
}

// ExpiryDue says whether it is time to check for late answers.
func (f *Forwarder) ExpiryDue() bool { return !f.env.Now().Before(f.nextExpiryAt) }

// Expire gives up what has waited too long for a peer's answer, in the order of the
// numbers: the same seed must give the same run.
func (f *Forwarder) Expire() {
	now := f.env.Now()
	f.nextExpiryAt = now.Add(tuning.ForwardExpiryInterval)
	for _, id := range slices.Sorted(maps.Keys(f.forwarded)) {
		if request := f.forwarded[id]; now.After(request.deadline) {
			delete(f.forwarded, id)
			f.env.Unavailable(request.requestID, "leader does not answer")
		}
	}
	for _, id := range slices.Sorted(maps.Keys(f.delegated)) {
		if call, ok := f.delegated[id]; ok && now.After(call.deadline) {
			delete(f.delegated, id)
			call.done(0, nil)
		}
	}
}

// Due tells when late answers are checked for, also for so many others that wait.
func (f *Forwarder) Due(by func(time.Time), othersWaiting int) {
	if len(f.forwarded)+len(f.delegated)+othersWaiting > 0 {
		by(f.nextExpiryAt)
	}
}
