package election

import (
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/tuning"
)

// authorityBounds computes for how long a leader may act. It depends on the configuration only.
type authorityBounds struct {
	cluster *config.Cluster
}

// grace returns how long a leader that cannot renew its leader lease continues to respond
// to heartbeats. The tasks of an agent whose lease it renews during the grace still end within the
// time in which a cancellation must take effect.
func (ab authorityBounds) grace() time.Duration {
	timings := ab.cluster.Agents
	grace := config.Seconds(timings.CancelS-timings.LeaseS) - tuning.AuthorityMargin - ab.failoverTime()
	return min(max(grace, 0), tuning.MaxLeaderGrace)
}

// failoverTime returns the time allowed for a failover on this controller's share of a core.
func (ab authorityBounds) failoverTime() time.Duration {
	return min(ab.cluster.Process.ThrottleInterval(tuning.FailoverCPUCost, 1), tuning.MaxFailoverAllowance)
}

// leaseTTL returns how long the leader lease stays valid after its last renewal.
func (ab authorityBounds) leaseTTL() time.Duration {
	return tuning.LeaderLeaseTTL + ab.failoverTime()
}

// maxSinceRenewal returns how long a leader may act after its leader lease was last renewed, and
// after it last knew every cancellation. A response to an agent at the end of this time keeps
// the agent's tasks running for another agent lease. A cancellation that was confirmed to
// a user just after the leader last knew every cancellation must have taken effect by then.
func (ab authorityBounds) maxSinceRenewal() time.Duration {
	timings := ab.cluster.Agents
	bound := config.Seconds(timings.CancelS) - config.WithClockDrift(config.Seconds(timings.LeaseS)) - tuning.CancellationMargin
	return min(ab.leaseTTL()+ab.grace(), max(bound, 0))
}

// maxSinceConfirmation returns how long a leader may act after it sent a request that all peers
// confirmed. The next leader starts after that request and assumes that the old one may continue
// to respond to agents for the grace, counted from that start.
func (ab authorityBounds) maxSinceConfirmation() time.Duration {
	return min(ab.grace(), ab.maxSinceRenewal())
}

// authority determines until when the holder of the leader lease may act as leader.
type authority struct {
	bounds       authorityBounds
	env          Environment
	mirror       Mirror
	lease        *heldLease
	confirmation *peerConfirmation
}

// start returns the time from which the authority counts: that of the last renewal or that at which
// the leader last knew every cancellation, whichever is earlier.
func (a *authority) start() time.Time {
	if synced := a.mirror.SyncedAt(); synced.Before(a.lease.renewedAt) {
		return synced
	}
	return a.lease.renewedAt
}

// holds reports whether the authority still holds.
func (a *authority) holds() bool {
	return a.lease.held() && (a.env.Now().Sub(a.start()) < a.bounds.maxSinceRenewal() || a.confirmation.holds())
}

// end returns the time at which the authority ends unless the leader lease is renewed or the
// peers confirm the authority before.
func (a *authority) end() time.Time {
	if a.confirmation.holds() {
		return a.confirmation.end()
	}
	return a.start().Add(a.bounds.maxSinceRenewal())
}
