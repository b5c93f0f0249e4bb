package election

import (
	"time"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// While the store serves nobody, nobody can confirm a cancellation or lead in another's
// place. A leader that cannot renew its leader lease asks all peers to confirm that, again
// and again, over the controllers' links. As long as every one does, its authority counts
// from the moment at which it last asked: whoever told a user of a cancellation before has
// named it, and whoever leads next begins later. One peer that does not answer, leads, or
// began its life since the leader last knew all cancellations, ends that.

// confirmation is what a leader knows of its peers' confirmation.
type confirmation struct {
	requestID   uint64
	requestedAt time.Time                  // when the question under way was sent
	answers     map[protocol.NodeName]bool // who has answered it, nil before the first question
	confirmedAt time.Time                  // when the last question that all answered was sent
}

// requestConfirmation asks the peers while renewals fail.
func (e *Election) requestConfirmation() {
	c, now := &e.confirmation, e.env.Now()
	if !e.env.Leading() || now.Sub(e.authorityStart()) < tuning.ConfirmationDelay ||
		now.Sub(c.requestedAt) < tuning.ConfirmationInterval || e.peers.Count() == 0 {
		return
	}
	c.requestID, c.requestedAt, c.answers = e.peers.RequestConfirmation(), now, map[protocol.NodeName]bool{}
}

// Confirm answers a leader's question: under which term this controller leads itself, how
// long its process has been up, and the cancellations that it has told users of meanwhile.
func (e *Election) Confirm(request protocol.PeerConfirmRequest, up time.Duration, cancelled []protocol.JobID) protocol.PeerConfirmation {
	m := protocol.PeerConfirmation{ID: request.ID, Term: e.term, UpMs: uint64(up.Milliseconds()), Cancels: cancelled}
	if m.Complete = m.FitsFrame(); !m.Complete {
		m.Cancels = nil
	}
	return m
}

// ReceiveConfirmation takes a peer's answer.
func (e *Election) ReceiveConfirmation(from protocol.NodeName, m protocol.PeerConfirmation) {
	c := &e.confirmation
	if !e.env.Leading() || c.answers == nil || m.ID != c.requestID {
		return // an old one, perhaps held back, or one that nobody asked for
	}
	if m.Term > e.term {
		e.StepDown("a peer leads")
		return
	}
	for _, jobID := range m.Cancels {
		e.env.CancellationConfirmed(jobID)
	}
	// What an earlier life of it told users since this controller last knew is not named.
	up := time.Duration(m.UpMs) * time.Millisecond
	latestStart := e.env.Now().Add(-up + time.Duration(float64(up)*tuning.MaxClockDrift))
	if m.Term != 0 || !m.Complete || latestStart.After(e.mirror.SyncedAt()) {
		return
	}
	c.answers[from] = true
	if len(c.answers) == e.peers.Count() {
		c.confirmedAt = c.requestedAt
		e.mirror.MarkSynced(c.requestedAt)
	}
}

// confirmedByPeers says whether the peers' confirmation still gives authority: for the grace
// that a successor, which begins after it was asked for, counts with.
func (e *Election) confirmedByPeers() bool {
	at := e.confirmation.confirmedAt
	return !at.IsZero() && e.env.Now().Sub(at) < min(e.Grace(), e.authority())
}
