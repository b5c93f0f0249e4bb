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
func (ee electionEnvironment) UniqueName() string { return ee.n.unique() }

// Leading implements election.Environment.
func (ee electionEnvironment) Leading() bool { return ee.n.lead != nil }

// SteppedDown implements election.Environment.
func (ee electionEnvironment) SteppedDown() { ee.n.lead = nil }

// CancellationConfirmed implements election.Environment.
func (ee electionEnvironment) CancellationConfirmed(jobID protocol.JobID) {
	ee.n.lead.cancelFromPeer(jobID)
}

// Count implements election.Peers.
func (ee electionEnvironment) Count() int { return ee.n.peers.Count() }

// RequestConfirmation implements election.Peers.
func (ee electionEnvironment) RequestConfirmation() uint64 {
	n := ee.n
	n.nextID++
	request := protocol.PeerConfirmationRequest{ID: n.nextID}
	for _, s := range n.cfg.Peers {
		if n.peers.Knows(s.Name, protocol.FeatureLevelCancellations) {
			n.out = append(n.out, PeerSend{Peer: s.Name, Message: request})
		}
	}
	return request.ID
}
