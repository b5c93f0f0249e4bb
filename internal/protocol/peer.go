package protocol

import (
	"encoding/binary"
	"math"
)

// PeerMessage is a message between controllers.
type PeerMessage interface{ kind() byte }

// PeerHello is the first message on a link and names the sender.
type PeerHello struct{ Node NodeName }

// PeerStatus is the heartbeat between controllers. It holds the status of the sender.
type PeerStatus struct {
	Term           Term
	Leader         NodeName
	HasStoreAccess bool
	Links          []NodeName // peers to which the sender has a link
	DirectShare    uint64     // agents per thousand that the leader responds to directly
}

// PeerForwardedHeartbeat carries an agent's heartbeat to the leader.
type PeerForwardedHeartbeat struct {
	ID        uint64
	Origin    NodeName
	Target    NodeName
	Hops      uint64
	Heartbeat *Heartbeat
}

// PeerResponse is the response to a PeerForwardedHeartbeat, PeerUserRequest or PeerAgentCall.
type PeerResponse struct {
	ID     uint64
	Target NodeName // the origin of the request
	Hops   uint64
	Status uint64
	Body   []byte
}

// PeerUserRequest carries a user's request to a node that has access to the store.
type PeerUserRequest struct {
	ID        uint64
	Origin    NodeName
	Target    NodeName
	Operation string // submit, query or cancel
	Job       JobID
	Body      []byte
}

// PeerCancellation tells the leader that a job's cancellation is in the records. It is sent only
// to a node that has announced FeatureLevelCancellations or higher.
type PeerCancellation struct{ Job JobID }

// PeerConfirmationRequest asks a node to confirm that it does not lead, and to name the
// cancellations that it has confirmed to users. The requesting node chooses ID, and the response
// repeats it.
type PeerConfirmationRequest struct{ ID uint64 }

// PeerConfirmation is the response to a PeerConfirmationRequest. It describes the sender at the
// time when it wrote the response.
type PeerConfirmation struct {
	ID       uint64
	Term     Term   // under which the sender leads; 0 if it does not lead
	UptimeMs uint64 // of the sender's process
	// Complete is false if there are too many cancellations to name, or the sender does not
	// know them.
	Complete bool
	// Cancellations are the jobs whose cancellation the sender has confirmed to users, without
	// those confirmed so long ago that the cancellation has taken effect.
	Cancellations []JobID
}

// FitsInFrame reports whether the message fits into one frame with all its cancellations.
func (m PeerConfirmation) FitsInFrame() bool {
	size := peerHeaderBytes + 5*binary.MaxVarintLen64
	for _, jobID := range m.Cancellations {
		size += binary.MaxVarintLen16 + len(jobID)
	}
	return size <= maxPeerFrameBytes
}

// PeerAnswerNotice says that the origin is about to tell users the state of a job. Like
// PeerAnswerConfirmation, it is sent only to a node that has announced FeatureLevelOrderedAnswers or
// higher.
type PeerAnswerNotice struct {
	ID     uint64
	Origin NodeName
	Target NodeName
	Hops   uint64
	Job    JobID
	Phase  Phase
	Done   uint64 // number of done tasks
}

// PeerAnswerConfirmation says that the origin will send no answer about the job that is older than the
// one in the target's PeerAnswerNotice with the same ID.
type PeerAnswerConfirmation struct {
	ID     uint64
	Origin NodeName
	Target NodeName
	Hops   uint64
	Job    JobID
}

// Feature levels. A node announces its own level in a PeerResponse that belongs to no request. The
// first version has no feature level and drops such a response.
const (
	// FeatureLevelCancellations adds PeerCancellation, PeerConfirmationRequest and
	// PeerConfirmation, and jobs with more task records than their number of tasks per record
	// implies.
	FeatureLevelCancellations = 1
	// FeatureLevelStagedParts adds parts of a job that are written before the job's main record
	// references them. A node of an earlier version deletes such parts when it becomes the
	// leader.
	FeatureLevelStagedParts = 2
	// FeatureLevelOrderedAnswers adds PeerAnswerNotice and PeerAnswerConfirmation.
	FeatureLevelOrderedAnswers = 3
	// CurrentFeatureLevel is the feature level of this version.
	CurrentFeatureLevel = FeatureLevelOrderedAnswers
)

// announcementID is the ID of announcements. No request has it: request IDs count up from a 40-bit
// number.
const announcementID = math.MaxUint64

// FeatureLevelAnnouncement returns the message that announces this node's feature level to a peer.
func FeatureLevelAnnouncement(target NodeName) PeerMessage {
	return PeerResponse{ID: announcementID, Target: target, Status: CurrentFeatureLevel, Body: []byte{}}
}

// AnnouncedFeatureLevel returns the feature level that a message announces, and false if the
// message is not an announcement.
func AnnouncedFeatureLevel(m PeerMessage) (level uint64, ok bool) {
	a, ok := m.(PeerResponse)
	if !ok || a.ID != announcementID {
		return 0, false
	}
	return a.Status, true
}

// PeerAgentCall asks a node to send commands to an agent on behalf of the leader.
type PeerAgentCall struct {
	ID      uint64
	Origin  NodeName
	Address string // of the agent
	Body    []byte
}
