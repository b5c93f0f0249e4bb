package agents

import (
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/tuning"
)

// LeaseEnvironment is what Leases needs of the leader.
type LeaseEnvironment interface {
	// ConfirmationGrace returns how long a leader may continue to respond to agents after its leader
	// lease has expired, as long as its peers confirm it.
	ConfirmationGrace() time.Duration
}

// Leases determines how long agents may hold their leases.
type Leases struct {
	state *cluster.State
	env   LeaseEnvironment
}

// ExpiresAt returns the time at which the lease of an agent's newest known incarnation has certainly
// expired. A response renews the lease, and an incarnation begins with a full one. It began before its
// first message arrived, in whatever way. If this leader has never responded to the agent, the
// previous leader may have done so until the end of its grace.
func (ls *Leases) ExpiresAt(machine *cluster.Machine) time.Time {
	grace := ls.env.ConfirmationGrace()
	lastRenewal := ls.state.LeadingSince.Add(grace)
	for _, renewal := range []time.Time{machine.Agent.RespondedAt, machine.Agent.IncarnationSeenAt} {
		if renewal.After(lastRenewal) {
			lastRenewal = renewal
		}
	}
	lease := config.Seconds(ls.state.Config.Cluster.Agents.LeaseS)
	return lastRenewal.Add(config.WithClockDrift(lease) + config.WithClockDrift(grace) - grace + tuning.LeaseExpiryMargin)
}
