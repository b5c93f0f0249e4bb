package election

import (
	"time"

	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// mayAcquire says whether there is a leader lease to be tried for. One under this
// controller's own name that it does not hold is a dead predecessor's, or its own attempt
// whose answer was lost.
func (e *Election) mayAcquire() bool {
	free := e.revision == 0 || e.holder == e.cfg.Name
	return e.mirror.Ready() && free && !e.acquiring
}

// acquire tries for the leader lease: a lease of the store, and under it the record, on the
// condition that it is as this controller knows it.
func (e *Election) acquire() {
	e.acquiring = true
	expected, sent := e.revision, e.env.Now()
	e.store.GrantLease(e.TTL(), func(granted kv.LeaseResult) {
		if granted.Outcome != kv.Done || granted.Lease == 0 {
			e.acquireLater()
			return
		}
		e.store.Transact(e.claim(granted.Lease, expected), func(result kv.TransactionResult) {
			if result.Outcome != kv.Done || result.Malformed || result.Revision == 0 {
				e.acquireLater()
				return
			}
			e.acquiring = false
			if e.revision <= result.Revision { // else somebody has taken it over already
				e.Acquired(protocol.Term(result.Revision), granted.Lease, sent)
			}
		})
	})
}

// claim is the transaction that takes the leader lease.
func (e *Election) claim(leaseID protocol.LeaseID, expected protocol.Revision) protocol.Transaction {
	return protocol.Transaction{
		Conditions: []protocol.Condition{{Key: storage.LeaderKey, Revision: expected}},
		Changes: []protocol.Change{{Set: storage.LeaderKey, Lease: leaseID,
			Value: storage.Encode(storage.LeaderLease{Node: e.cfg.Name, Boot: e.env.UniqueName()})}},
	}
}

// acquireLater ends an attempt that failed.
func (e *Election) acquireLater() {
	e.acquiring = false
	e.retryAt = e.env.Now().Add(tuning.LeaderLeaseRetryDelay + e.jitter(tuning.LeaderLeaseJitter))
}

// Acquired notes that this controller has won the leader lease by a request sent at that
// time. A renewal has to confirm it.
func (e *Election) Acquired(term protocol.Term, leaseID protocol.LeaseID, sent time.Time) {
	now := e.env.Now()
	e.term, e.leaseID, e.renewedAt, e.renewAt = term, leaseID, sent, now
	e.unconfirmed, e.resumedAt = true, now
	e.log.Info("leader lease acquired", "term", e.term)
}

// tickLease renews the leader lease and gives it up when its time is over.
func (e *Election) tickLease() {
	e.requestConfirmation()
	if !e.HasAuthority() {
		e.StepDown("not proven to lead in time")
		return
	}
	if e.renewing || e.env.Now().Before(e.renewAt) {
		return
	}
	e.renewing = true
	if e.env.Now().Sub(e.mirror.SyncedAt()) >= tuning.MirrorFreshness {
		e.mirror.FetchRevision()
	}
	e.renew()
}

func (e *Election) renew() {
	sent, term := e.env.Now(), e.term
	e.store.RenewLeaderLease(e.leaseID, func(outcome kv.Outcome) {
		if e.term != term {
			return
		}
		e.renewing = false
		switch outcome {
		case kv.Done:
			e.Renewed(sent)
		case kv.NotFound:
			e.StepDown("leader lease has ended")
		default:
			e.renewAt = e.env.Now().Add(tuning.StoreRetryDelay)
		}
	})
}

// Renewed notes that the leader lease was renewed by a request sent at that time.
func (e *Election) Renewed(sent time.Time) {
	e.renewedAt = sent
	e.renewAt = sent.Add(tuning.LeaderLeaseRenewInterval)
	e.unconfirmed = e.unconfirmed && sent.Before(e.resumedAt)
}
