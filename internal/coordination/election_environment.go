package coordination

import (
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// electionEnvironment implements election.Environment and election.Peers.
type electionEnvironment struct{ n *Node }

// Now implements election.Environment.
func (ee electionEnvironment) Now() time.Time { return ee.n.now }

// UniqueName implements election.Environment.
func (ee electionEnvironment) UniqueName() string { return ee.n.uniqueName() }

// Leading implements election.Environment.
func (ee electionEnvironment) Leading() bool { return ee.n.ownLeader != nil }

// SteppedDown implements election.Environment.
func (ee electionEnvironment) SteppedDown() { ee.n.ownLeader = nil }

// CancellationConfirmed implements election.Environment.
func (ee electionEnvironment) CancellationConfirmed(jobID protocol.JobID) {
	ee.n.ownLeader.cancelByID(jobID)
}

// Count implements election.Peers.
func (ee electionEnvironment) Count() int { return ee.n.peers.Count() }

// RequestConfirmation implements election.Peers. It does not ask peers of an earlier version, which
// do not know the request.
func (ee electionEnvironment) RequestConfirmation() uint64 {
	n := ee.n
	n.nextID++
	request := protocol.PeerConfirmationRequest{ID: n.nextID}
	for _, s := range n.cfg.Peers {
		if n.peers.Supports(s.Name, protocol.FeatureLevelCancellations) {
			n.out = append(n.out, PeerSend{Peer: s.Name, Message: request})
		}
	}
	return request.ID
}
