package tuning

import "time"

// Peers and reachability.
const (
	// WatchTimeoutMargin is how much longer than requested a watch may take to return.
	WatchTimeoutMargin = 3 * time.Second
	// IsolationTimeout is how long a node may go without access to the store, while a peer has
	// access, before it reports that it is not ready for users' requests.
	IsolationTimeout = 5 * time.Second
	// StoreUnreachableTimeout is how long requests to the store must have gone unanswered before
	// users' requests are refused at once: twice StoreRequestTimeout.
	StoreUnreachableTimeout = 3 * time.Second
	// StoreProbeInterval is how long a node sends the store no request before it sends one only to
	// find out whether the store responds.
	StoreProbeInterval = time.Second
	// MaxStoreServedAge is the longest time since the store last served a node for which the node
	// tells its peers that it has access to the store. After that, it forwards users' requests to a
	// peer with access. The time is shorter than IsolationTimeout, so that during an outage of the
	// store no node takes a peer's outdated status for a sign that the store works.
	MaxStoreServedAge = 1500 * time.Millisecond
	// PeerHeartbeatInterval is the interval of the heartbeats between peers.
	PeerHeartbeatInterval = time.Second
	// RelayWriteInterval is the least pause between two values that a node writes to the store for a
	// peer to which it has no link. It is long enough for the write budget and short enough for an
	// agent that waits 4 s for its response.
	RelayWriteInterval = 400 * time.Millisecond
	// PeerSilenceTimeout is how long a link may be silent before it counts as broken.
	PeerSilenceTimeout = 3 * time.Second
	// ForwardExpiryInterval is the pause between two searches for forwarded requests that got no
	// response in time.
	ForwardExpiryInterval = 250 * time.Millisecond
	// MaxPeerHops bounds the number of nodes that forward one message.
	MaxPeerHops = 2
	// LeaderLeaseJitter spreads the candidates' attempts to acquire the leader lease.
	LeaderLeaseJitter = 120 * time.Millisecond
)
