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

// peerConfirmation asks the peers to confirm that nobody else leads and counts their answers.
type peerConfirmation struct {
	bounds authorityBounds
	env    Environment
	mirror Mirror
	peers  Peers

	requestID   uint64
	requestedAt time.Time                  // when the question under way was sent
	answers     map[protocol.NodeName]bool // who has answered it, nil before the first question
	confirmedAt time.Time                  // when the last question that all answered was sent
}

// request asks the peers again if renewals fail: if the authority has counted from that
// start for longer than they take.
func (pc *peerConfirmation) request(authorityStart time.Time) {
	now := pc.env.Now()
	if !pc.env.Leading() || now.Sub(authorityStart) < tuning.ConfirmationDelay ||
		now.Sub(pc.requestedAt) < tuning.ConfirmationInterval || pc.peers.Count() == 0 {
		return
	}
	pc.requestID, pc.requestedAt, pc.answers = pc.peers.RequestConfirmation(), now, map[protocol.NodeName]bool{}
}

// awaits says whether an answer of that number answers the question under way: others are
// old ones, perhaps held back, or ones that nobody asked for.
func (pc *peerConfirmation) awaits(requestID uint64) bool {
	return pc.env.Leading() && pc.answers != nil && requestID == pc.requestID
}

// count counts a peer's answer to the question under way, if it confirms.
func (pc *peerConfirmation) count(from protocol.NodeName, m protocol.PeerConfirmation) {
	// What an earlier life of it told users since this controller last knew is not named.
	up := time.Duration(m.UpMs) * time.Millisecond
	latestStart := pc.env.Now().Add(-up + time.Duration(float64(up)*tuning.MaxClockDrift))
	if m.Term != 0 || !m.Complete || latestStart.After(pc.mirror.SyncedAt()) {
		return
	}
	pc.answers[from] = true
	if len(pc.answers) == pc.peers.Count() {
		pc.confirmedAt = pc.requestedAt
		pc.mirror.MarkSynced(pc.requestedAt)
	}
}

// holds says whether the peers' confirmation still gives authority.
func (pc *peerConfirmation) holds() bool {
	return !pc.confirmedAt.IsZero() && pc.env.Now().Sub(pc.confirmedAt) < pc.bounds.maxSinceConfirmation()
}

// end is when the peers' confirmation no longer gives authority.
func (pc *peerConfirmation) end() time.Time {
	return pc.confirmedAt.Add(pc.bounds.maxSinceConfirmation())
}

// reset forgets the question under way and what was confirmed.
func (pc *peerConfirmation) reset() {
	pc.requestID, pc.requestedAt, pc.answers, pc.confirmedAt = 0, time.Time{}, nil, time.Time{}
}
