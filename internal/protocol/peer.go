package protocol

import (
	"encoding/binary"
	"math"
)

// PeerMessage is one message between controllers.
type PeerMessage interface{ kind() byte }

// PeerHello opens a link.
type PeerHello struct{ Node NodeName }

// PeerStatus is what a node says of itself with each of its heartbeats.
type PeerStatus struct {
	Term           Term
	Leader         NodeName
	HasStoreAccess bool
	Links          []NodeName // peers that this node has a link to
	DirectShare    uint64     // of a thousand agents the leader answers so many itself
}

// PeerForwardedHeartbeat carries an agent's heartbeat to the leader.
type PeerForwardedHeartbeat struct {
	ID        uint64
	Origin    NodeName
	Target    NodeName
	Hops      uint64
	Heartbeat *Heartbeat
}

// PeerResponse carries the answer back.
type PeerResponse struct {
	ID     uint64
	Target NodeName // the node that forwarded the request first
	Hops   uint64
	Status uint64
	Body   []byte
}

// PeerUserRequest carries a user's request to a node that reaches the state service.
type PeerUserRequest struct {
	ID        uint64
	Origin    NodeName
	Target    NodeName
	Operation string // submit, query or cancel
	Job       JobID
	Body      []byte
}

// PeerCancellation tells the leader of a job whose cancellation is in the records. It
// goes only to a node that has announced FeatureLevelCancellations.
type PeerCancellation struct{ Job JobID }

// PeerConfirmationRequest has a node confirm for what it has told users and for not leading. ID is
// the one of the node that asks, and comes back.
type PeerConfirmationRequest struct{ ID uint64 }

// PeerConfirmation answers: at the time of writing the node led under that term, or not if
// it is 0, had been up for so long, and had confirmed to users no cancellation that is
// younger than they may take but these.
type PeerConfirmation struct {
	ID            uint64
	Term          Term
	UptimeMs      uint64
	Complete      bool // false: there were too many to name, or the node cannot say
	Cancellations []JobID
}

// FitsInFrame says whether the cancellations fit into one frame.
func (m PeerConfirmation) FitsInFrame() bool {
	size := peerHeaderBytes + 5*binary.MaxVarintLen64
	for _, jobID := range m.Cancellations {
		size += binary.MaxVarintLen16 + len(jobID)
	}
	return size <= maxPeerFrameBytes
}

// Levels of what a node knows. A node announces its own in a form that the first
// version, which knows none, takes for an answer to nothing and drops.
const (
	// FeatureLevelCancellations: PeerCancellation, PeerConfirmationRequest and PeerConfirmation, and job
	// records with more parts than their number of tasks per record implies.
	FeatureLevelCancellations = 1
	// FeatureLevelStagedParts: parts of a job that are written before the job's own record
	// names them. An earlier version deletes such records when it takes over.
	FeatureLevelStagedParts = 2
	// CurrentFeatureLevel is the level of this version.
	CurrentFeatureLevel = FeatureLevelStagedParts
)

// announcementID is no request's: those count from a 40-bit number.
const announcementID = math.MaxUint64

// FeatureLevelAnnouncement says to a peer what this node knows.
func FeatureLevelAnnouncement(target NodeName) PeerMessage {
	return PeerResponse{ID: announcementID, Target: target, Status: CurrentFeatureLevel, Body: []byte{}}
}

// AnnouncedFeatureLevel is the level that a message announces, if it does.
func AnnouncedFeatureLevel(m PeerMessage) (level uint64, ok bool) {
	a, ok := m.(PeerResponse)
	if !ok || a.ID != announcementID {
		return 0, false
	}
	return a.Status, true
}

// PeerAgentCall has a node send commands to an agent for the leader.
type PeerAgentCall struct {
	ID      uint64
	Origin  NodeName
	Address string // of the agent
	Body    []byte
}
