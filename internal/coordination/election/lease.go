package election

import (
	"time"

	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// heldLease is the leader lease while this controller holds it, and renews it.
type heldLease struct {
	store kv.Client
	env   Environment
	// onEnded is called when the store knows the leader lease no longer.
	onEnded func(reason string)

	term      protocol.Term // 0 while this controller does not hold it
	leaseID   protocol.LeaseID
	renewedAt time.Time // when the last renewal that succeeded was sent
	renewing  bool
	renewAt   time.Time
	// The process was paused until resumedAt, or won the leader lease then: a renewal sent
	// since must prove the leader lease before anything else is done under it.
	unconfirmed bool
	resumedAt   time.Time
}

func (h *heldLease) held() bool { return h.term != 0 }

// acquired notes that the leader lease was won by a request sent at that time.
func (h *heldLease) acquired(term protocol.Term, leaseID protocol.LeaseID, sent time.Time) {
	now := h.env.Now()
	h.term, h.leaseID, h.renewedAt, h.renewAt = term, leaseID, sent, now
	h.unconfirmed, h.resumedAt = true, now
}

// renewalDue says whether a renewal is to be sent now.
func (h *heldLease) renewalDue() bool { return !h.renewing && !h.env.Now().Before(h.renewAt) }

// renew sends a renewal.
func (h *heldLease) renew() {
	h.renewing = true
	sent, term := h.env.Now(), h.term
	h.store.RenewLeaderLease(h.leaseID, func(outcome kv.Outcome) {
		if h.term != term {
			return
		}
		h.renewing = false
		switch outcome {
		case kv.Done:
			h.renewed(sent)
		case kv.NotFound:
			h.onEnded("leader lease has ended")
		default:
			h.renewAt = h.env.Now().Add(tuning.StoreRetryDelay)
		}
	})
}

// renewed notes that the leader lease was renewed by a request sent at that time.
func (h *heldLease) renewed(sent time.Time) {
	h.renewedAt = sent
	h.renewAt = sent.Add(tuning.LeaderLeaseRenewInterval)
	h.unconfirmed = h.unconfirmed && sent.Before(h.resumedAt)
}

// processPaused has a new renewal prove the leader lease: one sent before proves nothing.
func (h *heldLease) processPaused() {
	now := h.env.Now()
	h.unconfirmed, h.resumedAt = true, now
	h.renewing, h.renewAt = false, now
}

// release forgets the leader lease.
func (h *heldLease) release() {
	h.term, h.leaseID, h.renewing, h.unconfirmed = 0, 0, false, false
}
