package tuning

import (
	"time"
)

// Leadership.
const (
	// LeaderLeaseTTL is how long the leader lease outlives its last renewal. Short
	// enough that a crashed leader is replaced before agents' heartbeats have
	// gone unanswered for two intervals; long enough for two lost renewals.
	LeaderLeaseTTL = 3 * time.Second
	// FailoverCPUCost is about what a failover costs of a core: the records of some
	// hundred jobs are read while all agents return. The leader lease lasts longer by
	// the time that this takes on the node's share of a core, so that no healthy leader
	// loses it over a failover.
	FailoverCPUCost = 60 * time.Millisecond
	// MaxFailoverAllowance bounds that time: so much later is a crashed leader replaced.
	MaxFailoverAllowance = 1500 * time.Millisecond
	// LeaderLeaseRenewInterval is how often the leader lease is renewed: three tries within the TTL.
	LeaderLeaseRenewInterval = 900 * time.Millisecond
	// ProcessPauseThreshold is the pause between two steps of a node from which on its leader lease
	// may have expired and been taken: it is woken once a second at least.
	ProcessPauseThreshold = LeaderLeaseTTL - LeaderLeaseRenewInterval
	// LeaderLeaseRetryDelay is the pause after a failed attempt to acquire the leader lease.
	LeaderLeaseRetryDelay = 200 * time.Millisecond
	// AuthorityMargin is kept free between grace + agent lease and the time a
	// cancellation may take: commands and heartbeats need a few seconds on the way.
	AuthorityMargin = 6 * time.Second
	// MaxLeaderGrace bounds the grace whatever the settings say.
	MaxLeaderGrace = 20 * time.Second
	// CancellationMargin is kept free between a leader's authority + agent lease and the
	// time a cancellation may take: whoever tells the user may have read another
	// clock, and the agent's last heartbeat response was on its way.
	CancellationMargin = 3 * time.Second
	// ConfirmationDelay is how long a leader must be without proof to ask its peers to
	// confirm it: a few renewals have failed.
	ConfirmationDelay = 2500 * time.Millisecond
	// ConfirmationInterval is how often it asks: many times within its grace.
	ConfirmationInterval = time.Second
	// MaxRememberedCancellations is how many acknowledged cancellations are kept before those that have taken
	// effect are searched for; how many a confirmation names is bounded by its frame alone.
	MaxRememberedCancellations = 1000
	// MaxMirrorAge is how old a leader's knowledge of the records may be before it asks
	// the store how far they have come: with every renewal at most.
	MaxMirrorAge = LeaderLeaseRenewInterval
	// WatchStallTimeout is how long a watch may fail to show a change that the state
	// service is known to have made before another watch is opened beside it.
	WatchStallTimeout = 2 * time.Second
	// MaxClockDrift is the largest disagreement of two steady clocks, as a share
	// (0.05% each way, doubled).
	MaxClockDrift = 0.001
	// LeaseExpiryMargin is added before an agent's lease is presumed to have expired:
	// the leases themselves are exact, processing is not.
	LeaseExpiryMargin = 1500 * time.Millisecond
)
