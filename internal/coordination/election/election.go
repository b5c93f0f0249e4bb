// Package election has a controller win, keep and give up the leader lease, and says
// whether it may act as leader now.
//
// A leader's authority is bounded: it counts from the last renewal of its leader lease and
// from when it last knew every cancellation, whichever is earlier, so that a successor and
// everyone who was told of a cancellation can count with its end. While the key-value store
// serves nobody the confirmation of all peers stands in for the renewal. After a pause of
// the process nothing is done as leader before the leader lease was renewed.
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
	cfg    *config.Config
	log    *slog.Logger
	rng    *rand.Rand
	store  kv.Client
	env    Environment
	mirror Mirror
	peers  Peers

	holder   protocol.NodeName // who holds the leader lease, "" while nobody does
	revision protocol.Revision // of its record, 0 while nobody holds it

	acquiring bool
	retryAt   time.Time

	// While this controller holds the leader lease.
	term      protocol.Term
	leaseID   protocol.LeaseID
	renewedAt time.Time // when the last renewal that succeeded was sent
	renewing  bool
	renewAt   time.Time
	// The process was paused until resumedAt, or won the leader lease then: a renewal sent
	// since must prove the leader lease before anything else is done under it.
	unconfirmed bool
	resumedAt   time.Time

	confirmation confirmation
}

// New makes an election that nobody has won.
func New(cfg *config.Config, log *slog.Logger, rng *rand.Rand, store kv.Client, env Environment, mirror Mirror, peers Peers) *Election {
	return &Election{cfg: cfg, log: log, rng: rng, store: store, env: env, mirror: mirror, peers: peers}
}

// Term is the term under which this controller leads or is about to, 0 if it does not
// hold the leader lease.
func (e *Election) Term() protocol.Term { return e.term }

// Holder is who holds the leader lease as far as this controller knows, "" if nobody does.
func (e *Election) Holder() protocol.NodeName { return e.holder }

// HolderTerm is the holder's term, 0 while nobody holds the leader lease.
func (e *Election) HolderTerm() protocol.Term { return protocol.Term(e.revision) }

// Confirmed says whether the leader lease was renewed since it was won and since the
// process was last paused.
func (e *Election) Confirmed() bool { return !e.unconfirmed }

// MayAct says whether this controller may command agents and write records now, if it has
// taken over.
func (e *Election) MayAct() bool { return e.HasAuthority() && !e.unconfirmed }

// MayStartLeading says whether this controller may begin to lead. The mirror has then seen
// everything that came before the leader lease, and the leader lease was renewed since it
// was won: reading the records of a large deployment takes a second of a small controller's
// time, and the return of all agents comes on top, so that leader leases expired before
// their first renewal left.
func (e *Election) MayStartLeading() bool { return e.MayAct() && e.HolderTerm() == e.term }

// Condition is the condition of a transaction that this controller's term lasts.
func (e *Election) Condition() protocol.Condition {
	return protocol.Condition{Key: storage.LeaderKey, Revision: protocol.Revision(e.term)}
}

// ObserveLease notes the leader lease as it now stands.
func (e *Election) ObserveLease(value json.RawMessage, revision protocol.Revision) {
	var lease storage.LeaderLease
	if err := json.Unmarshal(value, &lease); err != nil {
		e.log.Error("leader lease does not parse", "value", string(value), "error", err)
	}
	e.holder, e.revision = lease.Node, revision
	if e.term != 0 && e.HolderTerm() > e.term {
		e.StepDown("leader lease taken over")
	}
}

// ObserveRelease notes that nobody holds the leader lease.
func (e *Election) ObserveRelease() {
	e.holder, e.revision = "", 0
	if e.term != 0 {
		e.StepDown("leader lease expired")
	}
	e.retryAt = e.env.Now().Add(e.jitter(tuning.LeaderLeaseJitter))
}

func (e *Election) jitter(most time.Duration) time.Duration {
	return time.Duration(e.rng.Int64N(int64(most)))
}

// Tick tries for the leader lease while it is free, and keeps it while this controller holds it.
func (e *Election) Tick() {
	if e.term != 0 {
		e.tickLease()
		return
	}
	if e.mayAcquire() && !e.env.Now().Before(e.retryAt) {
		e.acquire()
	}
}

// Due tells when the leader lease is to be renewed, given up or tried for.
func (e *Election) Due(by func(time.Time)) {
	if e.term == 0 {
		if e.mayAcquire() {
			by(e.retryAt)
		}
		return
	}
	if !e.renewing {
		by(e.renewAt)
	}
	if e.confirmedByPeers() {
		by(e.confirmation.confirmedAt.Add(min(e.Grace(), e.authority())))
	} else {
		by(e.authorityStart().Add(e.authority()))
	}
}

// ProcessPaused is called when the process goes on after a pause, its clocks running on:
// full buffers and timers that are all due wait, and somebody else may lead by now.
// Nothing is done as leader before the leader lease was renewed.
func (e *Election) ProcessPaused(gap time.Duration) {
	if e.term == 0 {
		return
	}
	e.log.Info("was paused", "term", e.term, "seconds", gap.Seconds())
	e.unconfirmed, e.resumedAt = true, e.env.Now()
	e.renewing, e.renewAt = false, e.env.Now() // one sent before proves nothing
	if !e.HasAuthority() {
		e.StepDown("was paused for longer than its leader lease")
	}
}

// StepDown gives the leader lease up, if this controller holds it.
func (e *Election) StepDown(reason string) {
	if e.term == 0 {
		return
	}
	e.log.Info("stepping down", "term", e.term, "reason", reason)
	e.term, e.leaseID, e.renewing, e.unconfirmed = 0, 0, false, false
	e.retryAt = e.env.Now().Add(tuning.LeaderLeaseRetryDelay + e.jitter(tuning.LeaderLeaseJitter))
	e.confirmation = confirmation{}
	e.env.SteppedDown()
}
