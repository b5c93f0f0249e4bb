// Package election lets a controller acquire, renew and give up the leader lease, and determines
// whether the controller may act as leader now.
//
// A leader's authority is limited in time. It counts from the last renewal of the leader lease or
// from the time at which the leader last knew every cancellation, whichever is earlier. The next
// leader, and everyone who was told of a cancellation, can therefore rely on its end. While
// the key-value store is unavailable to all controllers, the confirmation of all peers takes the
// place of the renewal. After a pause of the process, the controller does nothing as leader until
// the leader lease has been renewed.
//
// Election consists of four parts: candidate observes the leader lease and tries to acquire it,
// heldLease renews it, peerConfirmation asks the peers and counts their responses, and authority
// determines from these until when a leader may act.
//
// The package reads and writes no record other than the leader lease, and does not depend on what
// a leader does.
package election

import (
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// Environment is what the package needs of the controller.
type Environment interface {
	Now() time.Time
	// UniqueName returns a new name that no other process uses.
	UniqueName() string
	// Leading reports whether the controller has taken over as leader.
	Leading() bool
	// SteppedDown is called when the controller has given up the leader lease. It must end
	// everything that the controller does as leader.
	SteppedDown()
	// CancellationConfirmed is called for each cancellation that a peer has confirmed to a user.
	CancellationConfirmed(jobID protocol.JobID)
}

// Mirror is the controller's copy of the store's records.
type Mirror interface {
	Ready() bool
	// SyncedAt returns a time such that the mirror includes every change made before it.
	SyncedAt() time.Time
	// MarkSynced records that the mirror includes every change made before the given time.
	MarkSynced(at time.Time)
	// FetchRevision asks the store for the current revision of its records.
	FetchRevision()
}

// Peers are the other controllers.
type Peers interface {
	Count() int
	// RequestConfirmation asks all reachable peers that know the request to confirm that they do
	// not lead, and returns the number of the request.
	RequestConfirmation() uint64
}

// Election is one controller's participation in the leader election.
type Election struct {
	log    *slog.Logger
	env    Environment
	mirror Mirror

	bounds       authorityBounds
	candidate    *candidate
	lease        *heldLease
	confirmation *peerConfirmation
	authority    *authority
}

// New returns the Election of a controller that does not hold the leader lease.
func New(cfg *config.Config, log *slog.Logger, rng *rand.Rand, store kv.Client, env Environment, mirror Mirror, peers Peers) *Election {
	bounds := authorityBounds{&cfg.Cluster}
	e := &Election{log: log, env: env, mirror: mirror, bounds: bounds}
	e.candidate = &candidate{name: cfg.Name, rng: rng, store: store, env: env, mirror: mirror, bounds: bounds, onAcquired: e.Acquired}
	e.lease = &heldLease{store: store, env: env, onEnded: e.StepDown}
	e.confirmation = &peerConfirmation{bounds: bounds, env: env, mirror: mirror, peers: peers}
	e.authority = &authority{bounds: bounds, env: env, mirror: mirror, lease: e.lease, confirmation: e.confirmation}
	return e
}

// Term returns the term under which this controller leads or is about to lead, 0 if it does not
// hold the leader lease.
func (e *Election) Term() protocol.Term { return e.lease.term }

// Holder returns the holder of the leader lease as far as this controller knows, "" if nobody
// holds it.
func (e *Election) Holder() protocol.NodeName { return e.candidate.holder }

// HolderTerm returns the holder's term, 0 while nobody holds the leader lease.
func (e *Election) HolderTerm() protocol.Term { return protocol.Term(e.candidate.revision) }

// LeaderGrace returns how long a leader that cannot renew its leader lease continues to respond
// to heartbeats.
func (e *Election) LeaderGrace() time.Duration { return e.bounds.grace() }

// LeaseTTL returns how long the leader lease stays valid after its last renewal.
func (e *Election) LeaseTTL() time.Duration { return e.bounds.leaseTTL() }

// HasAuthority reports whether this controller may act as leader. Either its leader lease was
// renewed so recently that the next leader still allows for it, and it knew every cancellation so
// recently that its responses to agents delay none beyond its deadline; or all peers have
// confirmed its authority recently enough.
func (e *Election) HasAuthority() bool { return e.authority.holds() }

// LeaseConfirmed reports whether the leader lease has been renewed since it was acquired and
// since the process was last paused.
func (e *Election) LeaseConfirmed() bool { return !e.lease.unconfirmed }

// MayAct reports whether this controller may command agents and write records now, if it has
// taken over as leader.
func (e *Election) MayAct() bool { return e.HasAuthority() && e.LeaseConfirmed() }

// MayStartLeading reports whether this controller may begin to lead. The mirror then includes
// every change that was made before the leader lease was acquired, and the lease has been renewed
// since. If the controller began earlier, its lease could expire before the first renewal is
// sent: reading the records of a large deployment takes a small controller a second, and the
// heartbeats of all agents arrive at the same time.
func (e *Election) MayStartLeading() bool { return e.MayAct() && e.HolderTerm() == e.Term() }

// Condition returns the transaction condition that this controller's term still lasts.
func (e *Election) Condition() protocol.Condition {
	return protocol.Condition{Key: storage.LeaderKey, Revision: protocol.Revision(e.Term())}
}

// ObserveLease processes the current record of the leader lease.
func (e *Election) ObserveLease(value json.RawMessage, revision protocol.Revision) {
	var lease storage.LeaderLease
	if err := protocol.Unmarshal(value, &lease); err != nil {
		e.log.Error("leader lease does not parse", "value", string(value), "error", err)
	}
	e.candidate.observe(lease.Node, revision)
	if e.HolderTerm() > e.Term() {
		e.StepDown("leader lease taken over")
	}
}

// ObserveRelease records that nobody holds the leader lease.
func (e *Election) ObserveRelease() {
	e.candidate.observe("", 0)
	e.StepDown("leader lease expired")
	e.candidate.retryAfter(0)
}

// Tick maintains the leader lease if this controller holds it. Otherwise it tries to acquire the
// lease if it is free.
func (e *Election) Tick() {
	if e.lease.held() {
		e.keepLease()
	} else {
		e.candidate.tick()
	}
}

// keepLease renews the leader lease, asks the peers for confirmation if renewals fail, and steps
// down when the authority has ended.
func (e *Election) keepLease() {
	e.confirmation.request(e.authority.start())
	if !e.HasAuthority() {
		e.StepDown("authority expired without renewal or confirmation")
		return
	}
	if !e.lease.renewalDue() {
		return
	}
	if e.env.Now().Sub(e.mirror.SyncedAt()) >= tuning.MaxMirrorAge {
		e.mirror.FetchRevision()
	}
	e.lease.renew()
}

// Due calls wakeBy with each time at which the leader lease is to be renewed, given up or
// acquired.
func (e *Election) Due(wakeBy func(time.Time)) {
	if !e.lease.held() {
		if e.candidate.mayAcquire() {
			wakeBy(e.candidate.retryAt)
		}
		return
	}
	if !e.lease.renewing {
		wakeBy(e.lease.renewAt)
	}
	wakeBy(e.authority.end())
}

// Acquired records that a request sent at the given time acquired the leader lease for this
// controller. A renewal must confirm the lease.
func (e *Election) Acquired(term protocol.Term, leaseID protocol.LeaseID, sent time.Time) {
	e.lease.acquired(term, leaseID, sent)
	e.log.Info("leader lease acquired", "term", term)
}

// Renewed records that a request sent at the given time renewed the leader lease.
func (e *Election) Renewed(sent time.Time) { e.lease.renewed(sent) }

// ProcessPaused is called when the process resumes after a pause during which its clocks
// continued to run. Full buffers and overdue timers are then waiting, and another controller may
// lead by now. Nothing is done as leader until the leader lease has been renewed.
func (e *Election) ProcessPaused(gap time.Duration) {
	if !e.lease.held() {
		return
	}
	e.log.Info("process was paused", "term", e.Term(), "seconds", gap.Seconds())
	e.lease.processPaused()
	if !e.HasAuthority() {
		e.StepDown("authority expired during a process pause")
	}
}

// StepDown gives up the leader lease, if this controller holds it.
func (e *Election) StepDown(reason string) {
	if !e.lease.held() {
		return
	}
	e.log.Info("stepping down", "term", e.Term(), "reason", reason)
	e.lease.release()
	e.candidate.retryAfter(tuning.LeaderLeaseRetryDelay)
	e.confirmation.reset()
	e.env.SteppedDown()
}

// Confirm returns the response to a leader's confirmation request: the term under which this
// controller leads itself (0 if it does not), how long its process has been up, and the
// cancellations that it has confirmed to users. If these do not fit into a frame, the response
// names none of them and is marked as incomplete.
func (e *Election) Confirm(request protocol.PeerConfirmationRequest, up time.Duration, cancelled []protocol.JobID) protocol.PeerConfirmation {
	m := protocol.PeerConfirmation{ID: request.ID, Term: e.Term(), UptimeMs: uint64(up.Milliseconds()), Cancellations: cancelled}
	if m.Complete = m.FitsInFrame(); !m.Complete {
		m.Cancellations = nil
	}
	return m
}

// ReceiveConfirmation processes a peer's response to a confirmation request.
func (e *Election) ReceiveConfirmation(from protocol.NodeName, m protocol.PeerConfirmation) {
	if !e.confirmation.awaits(m.ID) {
		return
	}
	if m.Term > e.Term() {
		e.StepDown("a peer leads under a higher term")
		return
	}
	for _, jobID := range m.Cancellations {
		e.env.CancellationConfirmed(jobID)
	}
	e.confirmation.count(from, m)
}
