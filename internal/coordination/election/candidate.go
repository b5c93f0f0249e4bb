package election

import (
	"math/rand/v2"
	"time"

	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// candidate observes the record of the leader lease and tries to acquire the lease while it is
// free.
type candidate struct {
	name   protocol.NodeName
	rng    *rand.Rand
	store  kv.Client
	env    Environment
	mirror Mirror
	bounds authorityBounds
	// onAcquired is called when a request sent at the given time has acquired the leader lease.
	onAcquired func(term protocol.Term, leaseID protocol.LeaseID, sent time.Time)

	holder    protocol.NodeName // of the leader lease, "" while nobody holds it
	revision  protocol.Revision // of the lease's record, 0 while nobody holds it
	acquiring bool
	retryAt   time.Time
}

// observe stores who holds the leader lease and the revision of its record.
func (c *candidate) observe(holder protocol.NodeName, revision protocol.Revision) {
	c.holder, c.revision = holder, revision
}

// retryAfter postpones the next attempt by the delay plus a random jitter.
func (c *candidate) retryAfter(delay time.Duration) {
	jitter := time.Duration(c.rng.Int64N(int64(tuning.LeaderLeaseJitter)))
	c.retryAt = c.env.Now().Add(delay + jitter)
}

// mayAcquire reports whether this controller may try to acquire the leader lease. A lease under
// its own name that it does not hold belongs to an earlier process of this controller, or
// results from an attempt whose response was lost.
func (c *candidate) mayAcquire() bool {
	free := c.revision == 0 || c.holder == c.name
	return c.mirror.Ready() && free && !c.acquiring
}

// tick tries to acquire the leader lease if that is possible and due.
func (c *candidate) tick() {
	if c.mayAcquire() && !c.env.Now().Before(c.retryAt) {
		c.acquire()
	}
}

// acquire tries to acquire the leader lease: it requests a lease from the store and writes the
// record under it, on condition that the record is still as this controller knows it.
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
			if c.revision <= result.Revision { // otherwise another controller has taken it over already
				c.onAcquired(protocol.Term(result.Revision), granted.Lease, sent)
			}
		})
	})
}

// claim returns the transaction that writes the record of the leader lease.
func (c *candidate) claim(leaseID protocol.LeaseID, expected protocol.Revision) protocol.Transaction {
	return protocol.Transaction{
		Conditions: []protocol.Condition{{Key: storage.LeaderKey, Revision: expected}},
		Changes: []protocol.Change{{Set: storage.LeaderKey, Lease: leaseID,
			Value: storage.Encode(storage.LeaderLease{Node: c.name, Boot: c.env.UniqueName()})}},
	}
}

// retryLater ends a failed attempt and schedules the next one.
func (c *candidate) retryLater() {
	c.acquiring = false
	c.retryAfter(tuning.LeaderLeaseRetryDelay)
}
