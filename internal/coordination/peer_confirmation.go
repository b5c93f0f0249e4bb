package coordination

import (
	"slices"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// While the state service serves nobody, nobody can confirm a cancellation or lead
// in another's place. A leader that cannot renew its leader lease asks all peers to
// confirm that, again and again, over the controllers' links. As long as every
// one does, its authority counts from the moment at which it last asked: whoever
// told a user of a cancellation before has named it, and whoever leads next begins
// later. One peer that does not answer, leads, or began its life since the leader
// last knew all cancellations, ends that.

// peerConfirmation is what a leader knows of its peers' confirmation.
type peerConfirmation struct {
	requestID   uint64
	requestedAt time.Time                  // when the question under way was sent
	answers     map[protocol.NodeName]bool // who has answered it
	confirmedAt time.Time                  // when the last question that all answered was sent
}

// noteCancel keeps note of a cancellation that a user is being told of.
func (n *Node) noteCancel(jobID protocol.JobID) {
	if n.lead != nil {
		n.lead.cancelFromPeer(jobID) // it may have read that while its watch hangs
	}
	if _, known := n.confirmedCancels[jobID]; known {
		return
	}
	if len(n.confirmedCancels) >= n.expireCancelsAt {
		n.expireConfirmedCancels()
		n.expireCancelsAt = max(tuning.MaxRememberedCancellations, 2*len(n.confirmedCancels))
	}
	n.confirmedCancels[jobID] = n.now
}

// expireConfirmedCancels drops the cancellations that have taken effect.
func (n *Node) expireConfirmedCancels() {
	for jobID, at := range n.confirmedCancels {
		if n.now.Sub(at) > config.WithClockDrift(config.Seconds(n.cfg.Cluster.Workers.CancelS)) {
			delete(n.confirmedCancels, jobID)
		}
	}
}

// noteConfirmedCancel looks for one in an answer.
func (n *Node) noteConfirmedCancel(body any) {
	switch b := body.(type) {
	case protocol.Status:
		if b.Phase == protocol.PhaseCancelled {
			n.noteCancel(b.ID)
		}
	case protocol.Accepted:
		if b.Phase == protocol.PhaseCancelled {
			n.noteCancel(b.ID)
		}
	}
}

// requestConfirmation asks the peers while renewals fail.
func (n *Node) requestConfirmation() {
	v := &n.confirmation
	if n.lead == nil || n.now.Sub(n.authorityStart()) < tuning.ConfirmationDelay || n.now.Sub(v.requestedAt) < tuning.ConfirmationInterval || len(n.peers) == 0 {
		return
	}
	n.nextID++
	v.requestID, v.requestedAt, v.answers = n.nextID, n.now, map[protocol.NodeName]bool{}
	for _, s := range n.cfg.Peers {
		if n.isReachable(s.Name) && n.peers[s.Name].level >= protocol.PeerKnowsCancelled {
			n.out = append(n.out, PeerSend{Peer: s.Name, Message: protocol.PeerConfirmRequest{ID: v.requestID}})
		}
	}
}

// confirm answers a leader's question.
func (n *Node) confirm(from protocol.NodeName, ask protocol.PeerConfirmRequest) {
	m := protocol.PeerConfirmation{ID: ask.ID, Term: n.lease.term, UpMs: uint64(n.now.Sub(n.began).Milliseconds())}
	n.expireConfirmedCancels()
	for jobID := range n.confirmedCancels {
		m.Cancels = append(m.Cancels, jobID)
	}
	slices.Sort(m.Cancels)
	if m.Complete = m.FitsFrame(); !m.Complete {
		m.Cancels = nil
	}
	n.out = append(n.out, PeerSend{Peer: from, Message: m})
}

// takeConfirmation takes a peer's confirmation.
func (n *Node) takeConfirmation(from protocol.NodeName, m protocol.PeerConfirmation) {
	v := &n.confirmation
	if n.lead == nil || m.ID != v.requestID {
		return // an old one, perhaps held back
	}
	if m.Term > n.lease.term {
		n.stepDown("a peer leads")
		return
	}
	for _, jobID := range m.Cancels {
		n.lead.cancelFromPeer(jobID)
	}
	// What an earlier life of it told users since this node last knew is not named.
	up := time.Duration(m.UpMs) * time.Millisecond
	if m.Term != 0 || !m.Complete || n.now.Add(-up+time.Duration(float64(up)*tuning.MaxClockDrift)).After(n.syncedAt) {
		return
	}
	v.answers[from] = true
	if len(v.answers) == len(n.peers) {
		v.confirmedAt = v.requestedAt
		n.markSynced(v.requestedAt)
	}
}

// confirmedByPeers says whether the peers' confirmation still gives authority: for the grace
// that a successor, which begins after it was asked for, counts with.
func (n *Node) confirmedByPeers() bool {
	return !n.confirmation.confirmedAt.IsZero() && n.now.Sub(n.confirmation.confirmedAt) < min(n.grace(), n.authority())
}
