package coordination

import (
	"net/http"
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// Target is the external system that a request goes to.
type Target int

// The external systems.
const (
	ToStore       Target = iota
	ToLeaderLease        // the key-value store, on a connection reserved for renewals of the leader lease
	ToCloud
	ToAgent
)

// Action is something that the caller of Step must do for the node.
type Action interface{ action() }

// Request is a call to an external system. Exactly one Response with the same ID must follow.
type Request struct {
	ID      uint64
	To      Target
	Address string // of the agent, if To is ToAgent
	Method  string
	Path    string
	Body    []byte
	Timeout time.Duration
}

// Reply is the response to a request of a user or an agent.
type Reply struct {
	ID         uint64
	Status     int
	Body       []byte
	RetryAfter time.Duration
	// Job is the job whose state the reply tells, "" if it tells none. Replies about the same job are
	// written in the order of the actions.
	Job protocol.JobID
	// Expires is the time after which the reply may no longer be written, or zero.
	Expires time.Time
}

// At returns the reply to be written at the given time. An expired reply is replaced by one that the
// request cannot be handled now.
func (r Reply) At(now time.Time) Reply {
	if r.Expires.IsZero() || !now.After(r.Expires) {
		return r
	}
	return Unavailable(r.ID)
}

// Unavailable returns the reply that a request cannot be handled now.
func Unavailable(id uint64) Reply {
	return Reply{ID: id, Status: http.StatusServiceUnavailable, RetryAfter: time.Second}
}

// PeerSend sends a message to a peer, if there is a link to it.
type PeerSend struct {
	Peer    protocol.NodeName
	Message protocol.PeerMessage
}

// PeerLinkReset closes a link on which nothing has arrived for too long, so that it is dialled
// again.
type PeerLinkReset struct{ Peer protocol.NodeName }

func (Request) action() {}

func (Reply) action() {}

func (PeerSend) action() {}

func (PeerLinkReset) action() {}

// Event is an input of the node.
type Event interface{ event() }

// Response is the outcome of a Request. Status 0 means that no response arrived: the request may
// have been executed, or may yet be.
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

// StatusQuery is a user's query for the status of a job.
type StatusQuery struct {
	ID  uint64
	Job protocol.JobID
}

// Cancel is a user's request to cancel a job.
type Cancel struct {
	ID  uint64
	Job protocol.JobID
}

// AgentHeartbeat is a heartbeat that an agent sent to this node.
type AgentHeartbeat struct {
	ID        uint64
	Heartbeat *protocol.Heartbeat
}

// PeerLinkUp is the event that there is a link to a peer now.
type PeerLinkUp struct{ Peer protocol.NodeName }

// PeerLinkDown is the event that the last link to a peer is closed.
type PeerLinkDown struct{ Peer protocol.NodeName }

// PeerReceive is a message from a peer. Link is the number of the link that it arrived on: the
// process numbers the links that it accepts in order. The first message on a link is PeerHello.
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
