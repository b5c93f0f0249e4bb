package coordination

import (
	"encoding/json"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// leaderLease is what a node knows of the leader lease.
type leaderLease struct {
	holder   protocol.NodeName // the leader lease's node, "" while nobody holds it
	revision protocol.Revision // the leader lease's revision, 0 while nobody holds it

	acquiring bool
	retryAt   time.Time

	// While this node holds the leader lease.
	term      protocol.Term
	leaseID   protocol.LeaseID
	renewedAt time.Time // when the last renewal that succeeded was sent
	renewing  bool
	renewAt   time.Time
	// The process was paused until woken, or won the leader lease then: a renewal sent
	// since must prove the leader lease before anything else is done under it.
	unconfirmed bool
	resumedAt   time.Time
}

// grace is how long a leader that cannot renew its leader lease goes on answering
// reports: as long as a worker that it kept alive is still gone before the
// time in which a cancellation must take effect.
func (n *Node) grace() time.Duration {
	w := n.cfg.Cluster.Workers
	g := config.Seconds(w.CancelS-w.LeaseS) - tuning.AuthorityMargin - n.takeoverTime()
	return min(max(g, 0), tuning.MaxLeaderGrace)
}

// takeoverTime is how long a takeover takes on this node's share of a core.
func (n *Node) takeoverTime() time.Duration {
	return min(n.cfg.Cluster.Resources.Pause(tuning.TakeoverCPUCost, 1), tuning.MaxTakeoverAllowance)
}

// leaseTTL is how long the leader lease outlives its last renewal.
func (n *Node) leaseTTL() time.Duration { return tuning.LeaderLeaseTTL + n.takeoverTime() }

// authority is how long a leader may act since its leader lease was last renewed and
// since it last knew every cancellation. What it answers a worker at the end of it
// keeps that worker's tasks for a lease: a cancellation that somebody confirmed
// the moment after it last knew must have taken effect by then.
func (n *Node) authority() time.Duration {
	w := n.cfg.Cluster.Workers
	bound := config.Seconds(w.CancelS) - config.WithClockDrift(config.Seconds(w.LeaseS)) - tuning.CancellationMargin
	return min(n.leaseTTL()+n.grace(), max(bound, 0))
}

// authorityStart is the moment from which a leader's authority counts.
func (n *Node) authorityStart() time.Time {
	if n.syncedAt.Before(n.lease.renewedAt) {
		return n.syncedAt
	}
	return n.lease.renewedAt
}

// leaseObserved notes the leader lease as it now stands.
func (n *Node) leaseObserved(value json.RawMessage, revision protocol.Revision) {
	var c storage.LeaderLease
	if json.Unmarshal(value, &c) != nil {
		n.log.Error("leader lease does not parse", "value", string(value))
	}
	n.lease.holder, n.lease.revision = c.Node, revision
	if n.lease.term == 0 {
		return
	}
	if protocol.Term(revision) > n.lease.term {
		n.stepDown("leader lease taken over")
	}
}

// leaseReleased notes that nobody holds the leader lease.
func (n *Node) leaseReleased() {
	n.lease.holder, n.lease.revision = "", 0
	if n.lease.term != 0 {
		n.stepDown("leader lease lapsed")
	}
	n.lease.retryAt = n.now.Add(n.jitter(tuning.LeaderLeaseJitter))
}

func (n *Node) jitter(d time.Duration) time.Duration {
	return time.Duration(n.rng.Int64N(int64(d)))
}

func (n *Node) tickElection() {
	c := &n.lease
	if c.term != 0 {
		n.tickLease()
		return
	}
	if !n.mayAcquireLease() || n.now.Before(c.retryAt) {
		return
	}
	c.acquiring = true
	expect := c.revision
	fail := func() {
		c.acquiring = false
		c.retryAt = n.now.Add(tuning.LeaderLeaseRetryDelay + n.jitter(tuning.LeaderLeaseJitter))
	}
	sent := n.now
	n.store.GrantLease(n.leaseTTL(), func(granted kv.LeaseResult) {
		if granted.Outcome != kv.Done || granted.Lease == 0 {
			fail()
			return
		}
		txn := protocol.Transaction{
			Conditions: []protocol.Condition{{Key: storage.LeaderKey, Revision: expect}},
			Changes: []protocol.Change{{Set: storage.LeaderKey, Lease: granted.Lease,
				Value: storage.Encode(storage.LeaderLease{Node: n.cfg.Name, Boot: n.unique()})}},
		}
		n.store.Transact(txn, func(result kv.TransactionResult) {
			if result.Outcome != kv.Done || result.Malformed || result.Revision == 0 {
				fail()
				return
			}
			c.acquiring = false
			if c.revision > result.Revision {
				return // somebody has taken it over already
			}
			c.term, c.leaseID, c.renewedAt, c.renewAt = protocol.Term(result.Revision), granted.Lease, sent, n.now
			c.unconfirmed, c.resumedAt = true, n.now
			n.log.Info("leader lease acquired", "term", c.term)
		})
	})
}

// mayAcquireLease says whether there is a leader lease to be tried for. One under this node's
// own name that it does not hold is a dead predecessor's, or its own attempt
// whose answer was lost.
func (n *Node) mayAcquireLease() bool {
	free := n.lease.revision == 0 || n.lease.holder == n.cfg.Name
	return n.mirror.Ready() && free && !n.lease.acquiring
}

// tickLease renews the leader lease and gives it up when its time is over.
func (n *Node) tickLease() {
	c := &n.lease
	n.requestConfirmation()
	if !n.hasAuthority() {
		n.stepDown("not proven to lead in time")
		return
	}
	if c.renewing || n.now.Before(c.renewAt) {
		return
	}
	c.renewing = true
	if n.now.Sub(n.syncedAt) >= tuning.MirrorFreshness {
		n.fetchRevision()
	}
	sent, term := n.now, c.term
	n.store.RenewLeaderLease(c.leaseID, func(outcome kv.Outcome) {
		if c.term != term {
			return
		}
		c.renewing = false
		switch outcome {
		case kv.Done:
			c.renewedAt = sent
			c.renewAt = sent.Add(tuning.LeaderLeaseRenewInterval)
			c.unconfirmed = c.unconfirmed && sent.Before(c.resumedAt)
		case kv.NotFound:
			n.stepDown("leader lease has ended")
		default:
			c.renewAt = n.now.Add(tuning.StoreRetryDelay)
		}
	})
}

// startLeading begins to lead. The mirror has then seen everything that came
// before the leader lease, and the leader lease was renewed since it was won: reading the
// records of a large deployment takes a second of a small controller's time, and
// the return of all workers comes on top, so that leader leases lapsed before their first
// renewal left.
func (n *Node) startLeading() {
	if n.lead == nil && n.hasAuthority() && !n.lease.unconfirmed && protocol.Term(n.lease.revision) == n.lease.term {
		n.takeOver()
	}
}

// hasAuthority says whether the node may act for the controllers: its leader lease was
// renewed lately enough that a successor still counts with it, and it has known
// all cancellations lately enough that none can be kept waiting by what it says.
func (n *Node) hasAuthority() bool {
	return n.lease.term != 0 && (n.now.Sub(n.authorityStart()) < n.authority() || n.confirmedByPeers())
}

// leads is the condition of a transaction that this node's term lasts.
func (n *Node) leads() protocol.Condition {
	return protocol.Condition{Key: storage.LeaderKey, Revision: protocol.Revision(n.lease.term)}
}

// mayAct says whether the node may command workers and write records now.
func (n *Node) mayAct() bool {
	return n.lead != nil && n.hasAuthority() && !n.lease.unconfirmed
}

// resume is called when the process goes on after it was paused, its clocks
// running on: full buffers and timers that are all due wait, and somebody else
// may lead by now. Nothing is done as leader before the leader lease was renewed.
func (n *Node) resume(gap time.Duration) {
	if n.lease.term == 0 {
		return
	}
	n.log.Info("was paused", "term", n.lease.term, "seconds", gap.Seconds())
	n.lease.unconfirmed, n.lease.resumedAt = true, n.now
	n.lease.renewing, n.lease.renewAt = false, n.now // one sent before proves nothing
	if !n.hasAuthority() {
		n.stepDown("was paused for longer than its leader lease")
	}
}

func (n *Node) stepDown(why string) {
	if n.lease.term == 0 {
		return
	}
	n.log.Info("stepping down", "term", n.lease.term, "why", why)
	n.lease.term, n.lease.leaseID, n.lease.renewing, n.lease.unconfirmed = 0, 0, false, false
	n.lease.retryAt = n.now.Add(tuning.LeaderLeaseRetryDelay + n.jitter(tuning.LeaderLeaseJitter))
	n.lead = nil
	n.confirmation = peerConfirmation{}
}
