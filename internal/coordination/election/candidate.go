package election

import (
	"math/rand/v2"
	"time"

	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// candidate observes the record of the leader lease and tries for it while it is free.
type candidate struct {
	name   protocol.NodeName
	rng    *rand.Rand
	store  kv.Client
	env    Environment
	mirror Mirror
	bounds authorityBounds
	// onAcquired is called when the leader lease was acquired by a request sent at that time.
	onAcquired func(term protocol.Term, leaseID protocol.LeaseID, sent time.Time)

	holder    protocol.NodeName // who holds the leader lease, "" while nobody does
	revision  protocol.Revision // of its record, 0 while nobody holds it
	acquiring bool
	retryAt   time.Time
}

// observe notes who holds the leader lease, and the revision of its record.
func (c *candidate) observe(holder protocol.NodeName, revision protocol.Revision) {
	c.holder, c.revision = holder, revision
}

// retryAfter puts the next attempt off by the delay and a random time.
func (c *candidate) retryAfter(delay time.Duration) {
	jitter := time.Duration(c.rng.Int64N(int64(tuning.LeaderLeaseJitter)))
	c.retryAt = c.env.Now().Add(delay + jitter)
}

// mayAcquire says whether there is a leader lease to be tried for. One under this
// controller's own name that it does not hold is a dead predecessor's, or its own attempt
// whose answer was lost.
func (c *candidate) mayAcquire() bool {
	free := c.revision == 0 || c.holder == c.name
	return c.mirror.Ready() && free && !c.acquiring
}

// tick tries for the leader lease if it may be tried for now.
func (c *candidate) tick() {
	if c.mayAcquire() && !c.env.Now().Before(c.retryAt) {
		c.acquire()
	}
}

// acquire tries for the leader lease: a lease of the store, and under it the record, on the
// condition that it is as this controller knows it.
func (c *candidate) acquire() {
	c.acquiring = true
	expected, sent := c.revision, c.env.Now()
	c.store.GrantLease(c.bounds.leaseTTL(), func(granted kv.LeaseResult) {
		if granted.Outcome != kv.Done || granted.Lease == 0 {
			c.retryLater()
			return
		}
		c.store.Transact(c.claim(granted.Lease, expected), func(result kv.TransactionResult) {
			if result.Outcome != kv.Done || result.Malformed || result.Revision == 0 {
				c.retryLater()
				return
			}
			c.acquiring = false
			if c.revision <= result.Revision { // else somebody has taken it over already
				c.onAcquired(protocol.Term(result.Revision), granted.Lease, sent)
			}
		})
	})
}

// claim is the transaction that takes the leader lease.
func (c *candidate) claim(leaseID protocol.LeaseID, expected protocol.Revision) protocol.Transaction {
	return protocol.Transaction{
		Conditions: []protocol.Condition{{Key: storage.LeaderKey, Revision: expected}},
		Changes: []protocol.Change{{Set: storage.LeaderKey, Lease: leaseID,
			Value: storage.Encode(storage.LeaderLease{Node: c.name, Boot: c.env.UniqueName()})}},
	}
}

// retryLater ends an attempt that failed.
func (c *candidate) retryLater() {
	c.acquiring = false
	c.retryAfter(tuning.LeaderLeaseRetryDelay)
}
