package election

import (
	"time"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// While the store is unavailable to all controllers, none of them can confirm a cancellation to
// a user or take over as leader. A leader that cannot renew its leader lease repeatedly asks all
// peers over the controllers' links to confirm that they do not lead, and to name the
// cancellations that they told users of. As long as every peer does, the leader's authority
// counts from the time of the last request: a peer that told a user of a cancellation before
// then has named it in its response, and the next leader begins later. A single peer is enough to
// end this: one that does not respond, that leads, or whose process has started since the leader
// last knew every cancellation.

// peerConfirmation asks the peers to confirm that they do not lead, and counts their responses.
type peerConfirmation struct {
	bounds authorityBounds
	env    Environment
	mirror Mirror
	peers  Peers

	requestID   uint64
	requestedAt time.Time                  // when the outstanding request was sent
	responses   map[protocol.NodeName]bool // peers that have confirmed it; nil before the first request
	confirmedAt time.Time                  // when the last request that all peers confirmed was sent
}

// request asks the peers to confirm if renewals fail, that is, if the authority has counted from
// the same start for tuning.ConfirmationDelay. It asks them again after each
// tuning.ConfirmationInterval.
func (pc *peerConfirmation) request(authorityStart time.Time) {
	now := pc.env.Now()
	if !pc.env.Leading() || now.Sub(authorityStart) < tuning.ConfirmationDelay ||
		now.Sub(pc.requestedAt) < tuning.ConfirmationInterval || pc.peers.Count() == 0 {
		return
	}
	pc.requestID, pc.requestedAt, pc.responses = pc.peers.RequestConfirmation(), now, map[protocol.NodeName]bool{}
}

// awaits reports whether a response with this number belongs to the outstanding request. Other
// responses are old, perhaps delayed on the way, or were never asked for.
func (pc *peerConfirmation) awaits(requestID uint64) bool {
	return pc.env.Leading() && pc.responses != nil && requestID == pc.requestID
}

// count counts a peer's response to the outstanding request, if the peer confirms.
func (pc *peerConfirmation) count(from protocol.NodeName, m protocol.PeerConfirmation) {
	// The response does not name cancellations that an earlier process of the peer told users of.
	// So the peer must have started before this controller last knew every cancellation.
	up := time.Duration(m.UptimeMs) * time.Millisecond
	latestStart := pc.env.Now().Add(-up + time.Duration(float64(up)*tuning.MaxClockDrift))
	if m.Term != 0 || !m.Complete || latestStart.After(pc.mirror.SyncedAt()) {
		return
	}
	pc.responses[from] = true
	if len(pc.responses) == pc.peers.Count() {
		pc.confirmedAt = pc.requestedAt
		pc.mirror.MarkSynced(pc.requestedAt)
	}
}

// holds reports whether the peers' confirmation still gives authority.
func (pc *peerConfirmation) holds() bool {
	return !pc.confirmedAt.IsZero() && pc.env.Now().Sub(pc.confirmedAt) < pc.bounds.maxSinceConfirmation()
}

// end returns the time from which the peers' confirmation no longer gives authority.
func (pc *peerConfirmation) end() time.Time {
	return pc.confirmedAt.Add(pc.bounds.maxSinceConfirmation())
}

// reset discards the outstanding request and the last confirmation.
func (pc *peerConfirmation) reset() {
	pc.requestID, pc.requestedAt, pc.responses, pc.confirmedAt = 0, time.Time{}, nil, time.Time{}
}
