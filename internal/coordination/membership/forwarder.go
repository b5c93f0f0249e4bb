package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// ForwarderEnvironment is what a forwarder needs from the controller.
type ForwarderEnvironment interface {
	Now() time.Time
	// NextID returns a request ID that no other request of this process has.
	NextID() uint64
	// Forwarded passes on a peer's response to a forwarded request.
	Forwarded(request ForwardedRequest, response protocol.PeerResponse)
	// Unavailable refuses a request that cannot be handled now.
	Unavailable(requestID uint64, reason string)
}

// Forwarder tracks the work that this controller and its peers do for each other: requests of
// users and agents that another controller responds to, and calls to agents.
type Forwarder struct {
	self  protocol.NodeName
	peers *Peers
	env   ForwarderEnvironment

	forwarded    map[uint64]ForwardedRequest // requests that peers respond to
	received     map[uint64]receivedRequest  // requests of peers that this controller responds to
	delegated    map[uint64]delegatedCall    // calls to agents that peers make
	nextExpiryAt time.Time                   // next check for overdue responses of peers
}

// ForwardedRequest is a request that this controller forwarded to a peer.
type ForwardedRequest struct {
	ID       uint64
	Job      protocol.JobID // of a user's request, "" for a heartbeat
	SentAt   time.Time
	deadline time.Time
}

// receivedRequest is a request that a peer forwarded to this controller.
type receivedRequest struct {
	origin protocol.NodeName
	id     uint64
}

// delegatedCall is a call to an agent that a peer makes for the leader. Status 0 means that no
// response came.
type delegatedCall struct {
	done     func(status int, body []byte)
	deadline time.Time
}

// peerRequestBit is set in the IDs of requests that peers forwarded here. The transport does not
// know these IDs.
const peerRequestBit = 1 << 63

// NewForwarder returns a forwarder that tracks nothing yet.
func NewForwarder(self protocol.NodeName, peers *Peers, env ForwarderEnvironment) *Forwarder {
	return &Forwarder{self: self, peers: peers, env: env,
		forwarded: map[uint64]ForwardedRequest{}, received: map[uint64]receivedRequest{}, delegated: map[uint64]delegatedCall{}}
}

// ForwardRequest forwards a user's request to a peer that the store serves, taking such peers in
// turn. It reports whether the request was sent. A request that came from a peer is not
// forwarded again.
func (f *Forwarder) ForwardRequest(requestID uint64, request protocol.PeerUserRequest) bool {
	if requestID&peerRequestBit != 0 {
		return false
	}
	candidates := f.peers.NamesWithStoreAccess()
	if len(candidates) == 0 {
		return false
	}
	id := f.env.NextID()
	request.ID, request.Origin, request.Target = id, f.self, candidates[id%uint64(len(candidates))]
	now := f.env.Now()
	f.forwarded[id] = ForwardedRequest{ID: requestID, Job: request.Job, SentAt: now, deadline: now.Add(tuning.UserRequestTimeout)}
	return f.peers.Send(request.Target, request)
}

// ForwardHeartbeat forwards an agent's heartbeat to the leader, to pass its response on to the
// agent. It returns false if there is no path to the leader.
func (f *Forwarder) ForwardHeartbeat(requestID uint64, leader protocol.NodeName, heartbeat *protocol.Heartbeat, deadline time.Time) bool {
	id := f.env.NextID()
	if !f.peers.Send(leader, protocol.PeerForwardedHeartbeat{ID: id, Origin: f.self, Target: leader, Heartbeat: heartbeat}) {
		return false
	}
	f.forwarded[id] = ForwardedRequest{ID: requestID, SentAt: f.env.Now(), deadline: deadline}
	return true
}

// Delegate has an agent's proxy send commands to the agent. It returns false if not all links
// between controllers are up. Commands are delegated because most calls need a new connection,
// which is expensive for a controller with a small share of a core. Commands whose outcome the
// peer does not report in time may still be executed, like any others without a response.
// Probes are not delegated, because their outcome decides whether a machine counts as alive.
func (f *Forwarder) Delegate(machineID protocol.MachineID, address string, body []byte, done func(status int, body []byte)) bool {
	if !f.peers.FullyConnected() {
		return false
	}
	id := f.env.NextID()
	f.delegated[id] = delegatedCall{done, f.env.Now().Add(tuning.ProbeTimeout + tuning.DelegatedCallMargin)}
	f.peers.Send(f.peers.ProxyFor(machineID, f.self, 0), protocol.PeerAgentCall{ID: id, Origin: f.self, Address: address, Body: body})
	return true
}

// ReceiveRequest records a request that a peer forwarded to this controller, and returns the ID
// that the request has here.
func (f *Forwarder) ReceiveRequest(request protocol.PeerUserRequest) (requestID uint64) {
	requestID = f.env.NextID() | peerRequestBit
	f.received[requestID] = receivedRequest{request.Origin, request.ID}
	return requestID
}

// Respond sends the response to a request to the peer that forwarded the request. It returns
// false if no peer did.
func (f *Forwarder) Respond(requestID uint64, status int, body []byte) bool {
	request, ok := f.received[requestID]
	if ok {
		delete(f.received, requestID)
		f.peers.Send(request.origin, protocol.PeerResponse{ID: request.id, Target: request.origin, Status: uint64(status), Body: body})
	}
	return ok
}

// HandleResponse passes a peer's response to the caller that waits for it.
func (f *Forwarder) HandleResponse(response protocol.PeerResponse) {
	if call, ok := f.delegated[response.ID]; ok {
		delete(f.delegated, response.ID)
		call.done(int(response.Status), response.Body)
	} else if request, ok := f.forwarded[response.ID]; ok {
		delete(f.forwarded, response.ID)
		f.env.Forwarded(request, response)
	}
}

// ExpiryDue reports whether it is time to check for overdue responses.
func (f *Forwarder) ExpiryDue() bool { return !f.env.Now().Before(f.nextExpiryAt) }

// Expire gives up requests and calls that have waited too long for a peer's response. It does so
// in the order of their IDs, because a simulation must run identically for the same seed.
func (f *Forwarder) Expire() {
	now := f.env.Now()
	f.nextExpiryAt = now.Add(tuning.ForwardExpiryInterval)
	for _, id := range slices.Sorted(maps.Keys(f.forwarded)) {
		if request := f.forwarded[id]; now.After(request.deadline) {
			delete(f.forwarded, id)
			f.env.Unavailable(request.ID, "leader does not answer")
		}
	}
	for _, id := range slices.Sorted(maps.Keys(f.delegated)) {
		if call, ok := f.delegated[id]; ok && now.After(call.deadline) {
			delete(f.delegated, id)
			call.done(0, nil)
		}
	}
}

// Due calls wakeBy with the time of the next check for overdue responses, if anything waits.
// othersWaiting is the number of waiting items that the forwarder does not keep itself.
func (f *Forwarder) Due(wakeBy func(time.Time), othersWaiting int) {
	if len(f.forwarded)+len(f.delegated)+othersWaiting > 0 {
		wakeBy(f.nextExpiryAt)
	}
}
