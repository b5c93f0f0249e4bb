package election

import (
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/tuning"
)

// Grace is how long a leader that cannot renew its leader lease goes on answering
// heartbeats: as long as an agent that it kept alive is still gone before the
// time in which a cancellation must take effect.
func (e *Election) Grace() time.Duration {
	w := e.cfg.Cluster.Agents
	grace := config.Seconds(w.CancelS-w.LeaseS) - tuning.AuthorityMargin - e.failoverTime()
	return min(max(grace, 0), tuning.MaxLeaderGrace)
}

// failoverTime is how long a failover takes on this controller's share of a core.
func (e *Election) failoverTime() time.Duration {
	return min(e.cfg.Cluster.Process.Pause(tuning.FailoverCPUCost, 1), tuning.MaxFailoverAllowance)
}

// TTL is how long the leader lease outlives its last renewal.
func (e *Election) TTL() time.Duration { return tuning.LeaderLeaseTTL + e.failoverTime() }

// authority is how long a leader may act since its leader lease was last renewed and
// since it last knew every cancellation. What it answers an agent at the end of it
// keeps that agent's tasks for a lease: a cancellation that somebody confirmed
// the moment after it last knew must have taken effect by then.
func (e *Election) authority() time.Duration {
	w := e.cfg.Cluster.Agents
	bound := config.Seconds(w.CancelS) - config.WithClockDrift(config.Seconds(w.LeaseS)) - tuning.CancellationMargin
	return min(e.TTL()+e.Grace(), max(bound, 0))
}

// authorityStart is the moment from which a leader's authority counts.
func (e *Election) authorityStart() time.Time {
	if synced := e.mirror.SyncedAt(); synced.Before(e.renewedAt) {
		return synced
	}
	return e.renewedAt
}

// HasAuthority says whether this controller may act for all: its leader lease was renewed
// lately enough that a successor still counts with it, and it has known all cancellations
// lately enough that none can be kept waiting by what it says.
func (e *Election) HasAuthority() bool {
	return e.term != 0 && (e.env.Now().Sub(e.authorityStart()) < e.authority() || e.confirmedByPeers())
}
