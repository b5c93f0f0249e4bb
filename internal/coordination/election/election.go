// Package election has a controller win, keep and give up the leader lease, and says
// whether it may act as leader now.
//
// A leader's authority is bounded: it counts from the last renewal of its leader lease and
// from when it last knew every cancellation, whichever is earlier, so that a successor and
// everyone who was told of a cancellation can count with its end. While the key-value store
// serves nobody the confirmation of all peers stands in for the renewal. After a pause of
// the process nothing is done as leader before the leader lease was renewed.
//
// Election is composed of four parts with one job each: candidate observes the leader lease
// and tries for it, heldLease renews it, peerConfirmation asks the peers and counts their
// answers, and authority tells from these until when a leader may act.
//
// The package neither reads nor writes records other than the leader lease and does not
// know what a leader does.
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

// Environment is what the election needs of the controller.
type Environment interface {
	Now() time.Time
	// UniqueName makes a name that no other process has.
	UniqueName() string
	// Leading says whether the controller has taken over as leader.
	Leading() bool
	// SteppedDown ends what the controller does as leader.
	SteppedDown()
	// CancellationConfirmed is called for each cancellation that a peer has told users of.
	CancellationConfirmed(jobID protocol.JobID)
}

// Mirror is the controller's copy of the store's records.
type Mirror interface {
	Ready() bool
	// SyncedAt is when every change was in the mirror that was made before then.
	SyncedAt() time.Time
	// MarkSynced notes that every change is in the mirror that was made before then.
	MarkSynced(at time.Time)
	// FetchRevision asks the store how far its records have come.
	FetchRevision()
}

// Peers are the other controllers.
type Peers interface {
	Count() int
	// RequestConfirmation asks all that can be reached to confirm that nobody else leads,
	// and returns the number of the question.
	RequestConfirmation() uint64
}

// Election is one controller's part in the election.
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

// New makes an election that nobody has won.
func New(cfg *config.Config, log *slog.Logger, rng *rand.Rand, store kv.Client, env Environment, mirror Mirror, peers Peers) *Election {
	bounds := authorityBounds{&cfg.Cluster}
	e := &Election{log: log, env: env, mirror: mirror, bounds: bounds}
	e.candidate = &candidate{name: cfg.Name, rng: rng, store: store, env: env, mirror: mirror, bounds: bounds, onAcquired: e.Acquired}
	e.lease = &heldLease{store: store, env: env, onEnded: e.StepDown}
	e.confirmation = &peerConfirmation{bounds: bounds, env: env, mirror: mirror, peers: peers}
	e.authority = &authority{bounds: bounds, env: env, mirror: mirror, lease: e.lease, confirmation: e.confirmation}
	return e
}

// Term is the term under which this controller leads or is about to, 0 if it does not
// hold the leader lease.
func (e *Election) Term() protocol.Term { return e.lease.term }

// Holder is who holds the leader lease as far as this controller knows, "" if nobody does.
func (e *Election) Holder() protocol.NodeName { return e.candidate.holder }

// HolderTerm is the holder's term, 0 while nobody holds the leader lease.
func (e *Election) HolderTerm() protocol.Term { return protocol.Term(e.candidate.revision) }

// LeaderGrace is how long a leader that cannot renew its leader lease goes on answering
// heartbeats.
func (e *Election) LeaderGrace() time.Duration { return e.bounds.grace() }

// LeaseTTL is how long the leader lease outlives its last renewal.
func (e *Election) LeaseTTL() time.Duration { return e.bounds.leaseTTL() }

// HasAuthority says whether this controller may act for all: its leader lease was renewed
// lately enough that a successor still counts with it, and it has known all cancellations
// lately enough that none can be kept waiting by what it says.
func (e *Election) HasAuthority() bool { return e.authority.holds() }

// LeaseConfirmed says whether the leader lease was renewed since it was won and since the
// process was last paused.
func (e *Election) LeaseConfirmed() bool { return !e.lease.unconfirmed }

// MayAct says whether this controller may command agents and write records now, if it has
// taken over.
func (e *Election) MayAct() bool { return e.HasAuthority() && e.LeaseConfirmed() }

// MayStartLeading says whether this controller may begin to lead. The mirror has then seen
// everything that came before the leader lease, and the leader lease was renewed since it
// was won: reading the records of a large deployment takes a second of a small controller's
// time, and the return of all agents comes on top, so that leader leases expired before
// their first renewal left.
func (e *Election) MayStartLeading() bool { return e.MayAct() && e.HolderTerm() == e.Term() }

// Condition is the condition of a transaction that this controller's term lasts.
func (e *Election) Condition() protocol.Condition {
	return protocol.Condition{Key: storage.LeaderKey, Revision: protocol.Revision(e.Term())}
}

// ObserveLease notes the leader lease as it now stands.
func (e *Election) ObserveLease(value json.RawMessage, revision protocol.Revision) {
	var lease storage.LeaderLease
	if err := json.Unmarshal(value, &lease); err != nil {
		e.log.Error("leader lease does not parse", "value", string(value), "error", err)
	}
	e.candidate.observe(lease.Node, revision)
	if e.HolderTerm() > e.Term() {
		e.StepDown("leader lease taken over")
	}
}

// ObserveRelease notes that nobody holds the leader lease.
func (e *Election) ObserveRelease() {
	e.candidate.observe("", 0)
	e.StepDown("leader lease expired")
	e.candidate.retryAfter(0)
}

// Tick tries for the leader lease while it is free, and keeps it while this controller holds it.
func (e *Election) Tick() {
	if e.lease.held() {
		e.keepLease()
	} else {
		e.candidate.tick()
	}
}

// keepLease renews the leader lease and gives it up when its time is over.
func (e *Election) keepLease() {
	e.confirmation.request(e.authority.start())
	if !e.HasAuthority() {
		e.StepDown("not proven to lead in time")
		return
	}
	if !e.lease.renewalDue() {
		return
	}
	if e.env.Now().Sub(e.mirror.SyncedAt()) >= tuning.MirrorFreshness {
		e.mirror.FetchRevision()
	}
	e.lease.renew()
}

// Due tells when the leader lease is to be renewed, given up or tried for.
func (e *Election) Due(by func(time.Time)) {
	if !e.lease.held() {
		if e.candidate.mayAcquire() {
			by(e.candidate.retryAt)
		}
		return
	}
	if !e.lease.renewing {
		by(e.lease.renewAt)
	}
	by(e.authority.end())
}

// Acquired notes that this controller has won the leader lease by a request sent at that
// time. A renewal has to confirm it.
func (e *Election) Acquired(term protocol.Term, leaseID protocol.LeaseID, sent time.Time) {
	e.lease.acquired(term, leaseID, sent)
	e.log.Info("leader lease acquired", "term", term)
}

// Renewed notes that the leader lease was renewed by a request sent at that time.
func (e *Election) Renewed(sent time.Time) { e.lease.renewed(sent) }

// ProcessPaused is called when the process goes on after a pause, its clocks running on:
// full buffers and timers that are all due wait, and somebody else may lead by now.
// Nothing is done as leader before the leader lease was renewed.
func (e *Election) ProcessPaused(gap time.Duration) {
	if !e.lease.held() {
		return
	}
	e.log.Info("process was paused", "term", e.Term(), "seconds", gap.Seconds())
	e.lease.processPaused()
	if !e.HasAuthority() {
		e.StepDown("was paused for longer than its leader lease")
	}
}

// StepDown gives the leader lease up, if this controller holds it.
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

// Confirm answers a leader's question: under which term this controller leads itself, how
// long its process has been up, and the cancellations that it has told users of meanwhile.
func (e *Election) Confirm(request protocol.PeerConfirmRequest, up time.Duration, cancelled []protocol.JobID) protocol.PeerConfirmation {
	m := protocol.PeerConfirmation{ID: request.ID, Term: e.Term(), UpMs: uint64(up.Milliseconds()), Cancels: cancelled}
	if m.Complete = m.FitsFrame(); !m.Complete {
		m.Cancels = nil
	}
	return m
}

// ReceiveConfirmation takes a peer's answer.
func (e *Election) ReceiveConfirmation(from protocol.NodeName, m protocol.PeerConfirmation) {
	if !e.confirmation.awaits(m.ID) {
		return
	}
	if m.Term > e.Term() {
		e.StepDown("a peer leads")
		return
	}
	for _, jobID := range m.Cancels {
		e.env.CancellationConfirmed(jobID)
	}
	e.confirmation.count(from, m)
}
