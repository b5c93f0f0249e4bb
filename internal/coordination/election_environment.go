package coordination

import (
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// electionEnvironment implements election.Environment, election.Mirror and election.Peers.
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

// Ready implements election.Mirror.
func (ee electionEnvironment) Ready() bool { return ee.n.mirror.Ready() }

// SyncedAt implements election.Mirror.
func (ee electionEnvironment) SyncedAt() time.Time { return ee.n.syncedAt }

// MarkSynced implements election.Mirror.
func (ee electionEnvironment) MarkSynced(at time.Time) { ee.n.markSynced(at) }

// FetchRevision implements election.Mirror.
func (ee electionEnvironment) FetchRevision() { ee.n.fetchRevision() }

// Count implements election.Peers.
func (ee electionEnvironment) Count() int { return ee.n.peers.Count() }

// RequestConfirmation implements election.Peers.
func (ee electionEnvironment) RequestConfirmation() uint64 {
	n := ee.n
	n.nextID++
	request := protocol.PeerConfirmRequest{ID: n.nextID}
	for _, s := range n.cfg.Peers {
		if n.peers.Knows(s.Name, protocol.PeerKnowsCancelled) {
			n.out = append(n.out, PeerSend{Peer: s.Name, Message: request})
		}
	}
	return request.ID
}
