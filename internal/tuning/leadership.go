package tuning

import (
	"time"
)

// Leadership.
const (
	// LeaderLeaseTTL is how long the leader lease outlives its last renewal. It is short enough for
	// a crashed leader to be replaced before agents' heartbeats have gone unanswered for two
	// intervals, and long enough for two lost renewals.
	LeaderLeaseTTL = 3 * time.Second
	// FailoverCPUCost is the approximate CPU time of a failover: the records of some hundred
	// jobs are read while all agents return. The leader lease is extended by the time that this
	// takes on the node's share of a core, so that no healthy leader loses its lease because of a
	// failover.
	FailoverCPUCost = 60 * time.Millisecond
	// MaxFailoverAllowance bounds this extension, because it delays the replacement of a crashed
	// leader.
	MaxFailoverAllowance = 1500 * time.Millisecond
	// LeaderLeaseRenewInterval is how often the leader lease is renewed: three tries within the TTL.
	LeaderLeaseRenewInterval = 900 * time.Millisecond
	// ProcessPauseThreshold is the shortest pause between two steps of a node after which its
	// leader lease may have expired and another node may have acquired it. A node is woken at
	// least once a second.
	ProcessPauseThreshold = LeaderLeaseTTL - LeaderLeaseRenewInterval
	// LeaderLeaseRetryDelay is the pause after a failed attempt to acquire the leader lease.
	LeaderLeaseRetryDelay = 200 * time.Millisecond
	// AuthorityMargin is subtracted from the time that a cancellation may take, to bound the
	// leader's grace: the time for which a leader that cannot renew its leader lease still responds
	// to heartbeats. The grace and an agent lease after it end earlier by this margin, because
	// commands and heartbeats take up to a few seconds to arrive.
	AuthorityMargin = 6 * time.Second
	// MaxLeaderGrace bounds the grace whatever the settings say.
	MaxLeaderGrace = 20 * time.Second
	// CancellationMargin is subtracted from the time that a cancellation may take, to bound how long
	// a leader may act after it last knew every cancellation. This time and an agent lease after it
	// end earlier by this margin, because the node that confirms the cancellation to the user may
	// have read another clock, and the agent's last heartbeat response needed time to arrive.
	CancellationMargin = 3 * time.Second
	// ConfirmationDelay is how long a leader must have been without proof of its leadership before
	// it asks its peers to confirm it. By then a few renewals have failed.
	ConfirmationDelay = 2500 * time.Millisecond
	// ConfirmationInterval is the interval at which a leader without proof of its leadership asks its
	// peers: many times within its grace.
	ConfirmationInterval = time.Second
	// MaxRememberedCancellations is the number of confirmed cancellations that are kept before
	// those that have taken effect are removed. The number that a leadership confirmation lists is
	// bounded only by the size of its frame.
	MaxRememberedCancellations = 1000
	// MaxMirrorAge is how old a leader's copy of the records may be before the leader asks the store
	// for their current revision. It asks at most once with every renewal of the leader lease.
	MaxMirrorAge = LeaderLeaseRenewInterval
	// WatchStallTimeout is how long a watch may fail to show a change that is known to be in the
	// store before another watch is opened in addition to it.
	WatchStallTimeout = 2 * time.Second
	// MaxClockDrift is the largest relative drift between two monotonic clocks: each may deviate
	// by 0.05% in either direction.
	MaxClockDrift = 0.001
	// LeaseExpiryMargin is added before an agent's lease is presumed to have expired.
	// The leases themselves are exact, but their processing takes time.
	LeaseExpiryMargin = 1500 * time.Millisecond
)
