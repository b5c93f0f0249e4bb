package election

import (
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/tuning"
)

// authorityBounds says for how long a leader may act. It depends on the configuration only.
type authorityBounds struct {
	cluster *config.Cluster
}

// grace is how long a leader that cannot renew its leader lease goes on answering
// heartbeats: as long as an agent that it kept alive is still gone before the
// time in which a cancellation must take effect.
func (ab authorityBounds) grace() time.Duration {
	w := ab.cluster.Agents
	grace := config.Seconds(w.CancelS-w.LeaseS) - tuning.AuthorityMargin - ab.failoverTime()
	return min(max(grace, 0), tuning.MaxLeaderGrace)
}

// failoverTime is how long a failover takes on this controller's share of a core.
func (ab authorityBounds) failoverTime() time.Duration {
	return min(ab.cluster.Process.Pause(tuning.FailoverCPUCost, 1), tuning.MaxFailoverAllowance)
}

// leaseTTL is how long the leader lease outlives its last renewal.
func (ab authorityBounds) leaseTTL() time.Duration {
	return tuning.LeaderLeaseTTL + ab.failoverTime()
}

// maxSinceRenewal is how long a leader may act since its leader lease was last renewed and
// since it last knew every cancellation. What it answers an agent at the end of it
// keeps that agent's tasks for a lease: a cancellation that somebody confirmed
// the moment after it last knew must have taken effect by then.
func (ab authorityBounds) maxSinceRenewal() time.Duration {
	w := ab.cluster.Agents
	bound := config.Seconds(w.CancelS) - config.WithClockDrift(config.Seconds(w.LeaseS)) - tuning.CancellationMargin
	return min(ab.leaseTTL()+ab.grace(), max(bound, 0))
}

// maxSinceConfirmation is how long a leader may act since it asked the peers what all of them
// confirmed: for the grace that a successor, which begins after it was asked for, counts with.
func (ab authorityBounds) maxSinceConfirmation() time.Duration {
	return min(ab.grace(), ab.maxSinceRenewal())
}

// authority says until when the holder of the leader lease may act for all.
type authority struct {
	bounds       authorityBounds
	env          Environment
	mirror       Mirror
	lease        *heldLease
	confirmation *peerConfirmation
}

// start is the moment from which the authority counts.
func (a *authority) start() time.Time {
	if synced := a.mirror.SyncedAt(); synced.Before(a.lease.renewedAt) {
		return synced
	}
	return a.lease.renewedAt
}

// holds says whether the authority lasts.
func (a *authority) holds() bool {
	return a.lease.held() && (a.env.Now().Sub(a.start()) < a.bounds.maxSinceRenewal() || a.confirmation.holds())
}

// end is when the authority ends unless the leader lease is renewed or the peers confirm
// it before.
func (a *authority) end() time.Time {
	if a.confirmation.holds() {
		return a.confirmation.end()
	}
	return a.start().Add(a.bounds.maxSinceRenewal())
}
