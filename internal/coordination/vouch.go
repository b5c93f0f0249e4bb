package coordination

import (
	"slices"
	"time"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// While the state service serves nobody, nobody can confirm a cancellation or lead
// in another's place. A leader that cannot renew its claim asks all siblings to
// vouch for that, again and again, over the controllers' links. As long as every
// one does, its authority counts from the moment at which it last asked: whoever
// told a user of a cancellation before has named it, and whoever leads next begins
// later. One sibling that does not answer, leads, or began its life since the leader
// last knew all cancellations, ends that.

// vouching is what a leader knows of its siblings' word.
type vouching struct {
	askedID uint64
	asked   time.Time       // when the question under way was sent
	have    map[string]bool // who has answered it
	at      time.Time       // when the last question that all answered was sent
}

// tell keeps note of a cancellation that a user is being told of.
func (n *Node) tell(job string) {
	if n.lead != nil {
		n.lead.cancelledElsewhere(job) // it may have read that while its watch hangs
	}
	if _, known := n.told[job]; known {
		return
	}
	if len(n.told) >= 2*tuning.VouchMost {
		n.forgetTold()
	}
	n.told[job] = n.now
}

// forgetTold drops the cancellations that have taken effect.
func (n *Node) forgetTold() {
	for job, at := range n.told {
		if n.now.Sub(at) > withDrift(seconds(n.cfg.Cluster.Workers.CancelS)) {
			delete(n.told, job)
		}
	}
}

// noteTold looks for one in an answer.
func (n *Node) noteTold(body any) {
	switch b := body.(type) {
	case protocol.Status:
		if b.Phase == protocol.PhaseCancelled {
			n.tell(b.ID)
		}
	case protocol.Accepted:
		if b.Phase == protocol.PhaseCancelled {
			n.tell(b.ID)
		}
	}
}

// tickVouching asks the siblings while renewals fail.
func (n *Node) tickVouching() {
	v := &n.vouched
	if n.lead == nil || n.now.Sub(n.provenAt()) < tuning.VouchAfter || n.now.Sub(v.asked) < tuning.VouchEvery || len(n.peers) == 0 {
		return
	}
	n.nextID++
	v.askedID, v.asked, v.have = n.nextID, n.now, map[string]bool{}
	for _, s := range n.cfg.Siblings {
		if n.reach(s.Name) && n.peers[s.Name].level >= protocol.PeerKnowsCancelled {
			n.out = append(n.out, PeerSend{Peer: s.Name, Message: protocol.PeerAsk{ID: v.askedID}})
		}
	}
}

// vouch answers a leader's question.
func (n *Node) vouch(from string, ask protocol.PeerAsk) {
	m := protocol.PeerVouch{ID: ask.ID, Term: n.claim.term, UpMs: uint64(n.now.Sub(n.began).Milliseconds())}
	n.forgetTold()
	for job := range n.told {
		m.Cancels = append(m.Cancels, job)
	}
	slices.Sort(m.Cancels)
	if m.Whole = len(m.Cancels) <= tuning.VouchMost; !m.Whole {
		m.Cancels = nil
	}
	n.out = append(n.out, PeerSend{Peer: from, Message: m})
}

// vouchedFor takes a sibling's word.
func (n *Node) vouchedFor(from string, m protocol.PeerVouch) {
	v := &n.vouched
	if n.lead == nil || m.ID != v.askedID {
		return // an old one, perhaps held back
	}
	if m.Term > n.claim.term {
		n.stepDown("a sibling leads")
		return
	}
	for _, job := range m.Cancels {
		n.lead.cancelledElsewhere(job)
	}
	// What an earlier life of it told users since this node last knew is not named.
	up := time.Duration(m.UpMs) * time.Millisecond
	if m.Term != 0 || !m.Whole || n.now.Add(-up+time.Duration(float64(up)*tuning.ClockDrift)).After(n.known) {
		return
	}
	v.have[from] = true
	if len(v.have) == len(n.peers) {
		v.at = v.asked
		n.knows(v.asked)
	}
}

// vouchedNow says whether the siblings' word still gives authority: for the grace
// that a successor, which begins after it was asked for, counts with.
func (n *Node) vouchedNow() bool {
	return !n.vouched.at.IsZero() && n.now.Sub(n.vouched.at) < min(n.grace(), n.authority())
}
