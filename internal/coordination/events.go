package coordination

import (
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// Target is the outside system that a request goes to.
type Target int

// The outside systems.
const (
	ToStore       Target = iota
	ToLeaderLease        // the key-value store, on a connection kept for renewals of the leader lease
	ToCloud
	ToAgent
)

// Action is something the owner must do for the node.
type Action interface{ action() }

// Request calls an outside system. Exactly one Response with its ID follows.
type Request struct {
	ID      uint64
	To      Target
	Address string // of an agent
	Method  string
	Path    string
	Body    []byte
	Timeout time.Duration
}

// Reply answers a user or an agent.
type Reply struct {
	ID         uint64
	Status     int
	Body       []byte
	RetryAfter time.Duration
}

// PeerSend sends a message to a peer, if there is a link.
type PeerSend struct {
	Peer    protocol.NodeName
	Message protocol.PeerMessage
}

// PeerLinkReset closes a link that has gone silent, so that it is dialled anew.
type PeerLinkReset struct{ Peer protocol.NodeName }

func (Request) action() {}

func (Reply) action() {}

func (PeerSend) action() {}

func (PeerLinkReset) action() {}

// Event is something that happened to the node.
type Event interface{ event() }

// Response ends a Request. Status 0: no answer came, the request may have been
// executed or may yet be.
type Response struct {
	ID     uint64
	Status int
	Body   []byte
}

// Submit is a user's valid submission.
type Submit struct {
	ID  uint64
	Job *protocol.Job
}

// StatusQuery asks for the status of a job.
type StatusQuery struct {
	ID  uint64
	Job protocol.JobID
}

// Cancel is a user's cancellation.
type Cancel struct {
	ID  uint64
	Job protocol.JobID
}

// AgentHeartbeat is an agent's heartbeat that this node was sent.
type AgentHeartbeat struct {
	ID        uint64
	Heartbeat *protocol.Heartbeat
}

// PeerLinkUp and PeerLinkDown say that a link to a peer exists or no longer does.
type PeerLinkUp struct{ Peer protocol.NodeName }

// PeerLinkDown says that the last link to a peer is gone.
type PeerLinkDown struct{ Peer protocol.NodeName }

// PeerReceive is a message from a peer. The links that a process accepts are
// numbered as they come; a link begins with PeerHello.
type PeerReceive struct {
	Peer    protocol.NodeName
	Link    uint64
	Message protocol.PeerMessage
}

func (Response) event() {}

func (Submit) event() {}

func (StatusQuery) event() {}

func (Cancel) event() {}

func (AgentHeartbeat) event() {}

func (PeerLinkUp) event() {}

func (PeerLinkDown) event() {}

func (PeerReceive) event() {}
