package coordination

import (
	"encoding/json"
	"time"

	"github.com/gappond/gappond/internal/bookkeeping"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// claimState is what a node knows of the leader's claim.
type claimState struct {
	holder string // the claim's node, "" while nobody holds it
	stamp  uint64 // the claim's revision, 0 while nobody holds it

	trying  bool
	retryAt time.Time

	// While this node holds the claim.
	term     uint64
	lease    uint64
	renewed  time.Time // when the last renewal that succeeded was sent
	renewing bool
	renewAt  time.Time
	// The process stood still until woken, or won the claim then: a renewal sent
	// since must prove the claim before anything else is done under it.
	unproven bool
	woken    time.Time
}

// grace is how long a leader that cannot renew its claim goes on answering
// reports: as long as a worker that it kept alive is still gone before the
// time in which a cancellation must take effect.
func (n *Node) grace() time.Duration {
	w := n.cfg.Cluster.Workers
	g := seconds(w.CancelS-w.LeaseS) - tuning.AuthorityMargin - n.takeoverTime()
	return min(max(g, 0), tuning.MaxGrace)
}

// takeoverTime is how long a takeover takes on this node's share of a core.
func (n *Node) takeoverTime() time.Duration {
	return min(n.cfg.Cluster.Resources.Pause(tuning.TakeoverWork, 1), tuning.TakeoverMost)
}

// claimTTL is how long the claim outlives its last renewal.
func (n *Node) claimTTL() time.Duration { return tuning.ClaimTTL + n.takeoverTime() }

// authority is how long a leader may act since its claim was last renewed and
// since it last knew every cancellation. What it answers a worker at the end of it
// keeps that worker's tasks for a lease: a cancellation that somebody confirmed
// the moment after it last knew must have taken effect by then.
func (n *Node) authority() time.Duration {
	w := n.cfg.Cluster.Workers
	bound := seconds(w.CancelS) - withDrift(seconds(w.LeaseS)) - tuning.CancelMargin
	return min(n.claimTTL()+n.grace(), max(bound, 0))
}

// provenAt is the moment from which a leader's authority counts.
func (n *Node) provenAt() time.Time {
	if n.known.Before(n.claim.renewed) {
		return n.known
	}
	return n.claim.renewed
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// withDrift stretches a span by the largest disagreement of two clocks.
func withDrift(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*tuning.ClockDrift)
}

// claimSeen notes the claim as it now stands.
func (n *Node) claimSeen(value json.RawMessage, stamp uint64) {
	var c bookkeeping.Claim
	if json.Unmarshal(value, &c) != nil {
		n.log.Error("claim does not parse", "value", string(value))
	}
	n.claim.holder, n.claim.stamp = c.Node, stamp
	if n.claim.term == 0 {
		return
	}
	if stamp > n.claim.term {
		n.stepDown("claim taken over")
	}
}

// claimGone notes that nobody holds the claim.
func (n *Node) claimGone() {
	n.claim.holder, n.claim.stamp = "", 0
	if n.claim.term != 0 {
		n.stepDown("claim lapsed")
	}
	n.claim.retryAt = n.now.Add(n.jitter(tuning.ClaimJitter))
}

func (n *Node) jitter(d time.Duration) time.Duration {
	return time.Duration(n.rng.Int64N(int64(d)))
}

func (n *Node) tickElection() {
	c := &n.claim
	if c.term != 0 {
		n.tickClaim()
		return
	}
	if !n.mayClaim() || n.now.Before(c.retryAt) {
		return
	}
	c.trying = true
	expect := c.stamp
	fail := func() {
		c.trying = false
		c.retryAt = n.now.Add(tuning.ClaimRetry + n.jitter(tuning.ClaimJitter))
	}
	sent := n.now
	n.state("POST", protocol.PathLeases, protocol.LeaseRequest{TTLMs: n.claimTTL().Milliseconds()}, func(status int, body []byte) {
		var l protocol.LeaseAnswer
		if status != 200 || json.Unmarshal(body, &l) != nil || l.Lease == 0 {
			fail()
			return
		}
		txn := protocol.Txn{
			If: []protocol.Condition{{Key: bookkeeping.ClaimKey, Stamp: expect}},
			Then: []protocol.Change{{Set: bookkeeping.ClaimKey, Lease: l.Lease,
				Value: bookkeeping.Encode(bookkeeping.Claim{Node: n.cfg.Name, Boot: n.unique()})}},
		}
		n.state("POST", protocol.PathTxn, txn, func(status int, body []byte) {
			var a protocol.TxnAnswer
			if status != 200 || json.Unmarshal(body, &a) != nil || a.Revision == 0 {
				fail()
				return
			}
			c.trying = false
			if c.stamp > a.Revision {
				return // somebody has taken it over already
			}
			c.term, c.lease, c.renewed, c.renewAt = a.Revision, l.Lease, sent, n.now
			c.unproven, c.woken = true, n.now
			n.log.Info("claim won", "term", c.term)
		})
	})
}

// mayClaim says whether there is a claim to be tried for. One under this node's
// own name that it does not hold is a dead predecessor's, or its own attempt
// whose answer was lost.
func (n *Node) mayClaim() bool {
	free := n.claim.stamp == 0 || n.claim.holder == n.cfg.Name
	return n.mirror.Ready() && free && !n.claim.trying
}

// tickClaim renews the claim and gives it up when its time is over.
func (n *Node) tickClaim() {
	c := &n.claim
	n.tickVouching()
	if !n.entitled() {
		n.stepDown("not proven to lead in time")
		return
	}
	if c.renewing || n.now.Before(c.renewAt) {
		return
	}
	c.renewing = true
	if n.now.Sub(n.known) >= tuning.KnownFor {
		n.lookAhead()
	}
	sent, term := n.now, c.term
	n.stateOn(ToClaim, "POST", protocol.RenewPath(c.lease), struct{}{}, func(status int, _ []byte) {
		if c.term != term {
			return
		}
		c.renewing = false
		switch status {
		case 200:
			c.renewed = sent
			c.renewAt = sent.Add(tuning.ClaimRenew)
			c.unproven = c.unproven && sent.Before(c.woken)
		case 404:
			n.stepDown("claim's lease has ended")
		default:
			c.renewAt = n.now.Add(tuning.RetryPause)
		}
	})
}

// tickTakeOver begins to lead. The mirror has then seen everything that came
// before the claim, and the claim was renewed since it was won: reading the
// records of a large deployment takes a second of a small controller's time, and
// the return of all workers comes on top, so that claims lapsed before their first
// renewal left.
func (n *Node) tickTakeOver() {
	if n.lead == nil && n.entitled() && !n.claim.unproven && n.claim.stamp == n.claim.term {
		n.takeOver()
	}
}

// entitled says whether the node may act for the controllers: its claim was
// renewed lately enough that a successor still counts with it, and it has known
// all cancellations lately enough that none can be kept waiting by what it says.
func (n *Node) entitled() bool {
	return n.claim.term != 0 && (n.now.Sub(n.provenAt()) < n.authority() || n.vouchedNow())
}

// acting says whether the node may command workers and write records now.
func (n *Node) acting() bool {
	return n.lead != nil && n.entitled() && !n.claim.unproven
}

// wake is called when the process goes on after it stood still, its clocks
// running on: full buffers and timers that are all due wait, and somebody else
// may lead by now. Nothing is done as leader before the claim was renewed.
func (n *Node) wake(gap time.Duration) {
	if n.claim.term == 0 {
		return
	}
	n.log.Info("stood still", "term", n.claim.term, "seconds", gap.Seconds())
	n.claim.unproven, n.claim.woken = true, n.now
	n.claim.renewing, n.claim.renewAt = false, n.now // one sent before proves nothing
	if !n.entitled() {
		n.stepDown("stood still for longer than its claim")
	}
}

func (n *Node) stepDown(why string) {
	if n.claim.term == 0 {
		return
	}
	n.log.Info("stepping down", "term", n.claim.term, "why", why)
	n.claim.term, n.claim.lease, n.claim.renewing, n.claim.unproven = 0, 0, false, false
	n.claim.retryAt = n.now.Add(tuning.ClaimRetry + n.jitter(tuning.ClaimJitter))
	n.lead = nil
	n.vouched = vouching{}
}
