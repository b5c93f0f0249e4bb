package tuning

import "time"

// Peers, and what a node makes of its reach.
const (
	// WatchTimeoutMargin is how much longer than asked a watch may take to return.
	WatchTimeoutMargin = 3 * time.Second
	// IsolationTimeout is how long a node may miss the store, while a peer
	// reaches it, before it asks to be spared users' requests.
	IsolationTimeout = 5 * time.Second
	// StoreUnreachableTimeout is how long requests to the store must have gone
	// unanswered for users to be turned away at once: two time-outs.
	StoreUnreachableTimeout = 3 * time.Second
	// StoreProbeInterval is how long a node asks the store for nothing before
	// it asks just to know whether it is served.
	StoreProbeInterval = time.Second
	// MaxStoreServedAge is how fresh the last served request must be for a node to
	// tell its peers that the store serves it: less than IsolationTimeout,
	// so that in an outage no node takes an old word for a sign of life.
	MaxStoreServedAge = 1500 * time.Millisecond
	// PeerHeartbeatInterval is the interval of the heartbeats between peers.
	PeerHeartbeatInterval = time.Second
	// RelayWriteInterval is the least pause between two values written for a peer
	// that no link leads to: few enough for the write budget, often enough for
	// an agent that waits 4 s for its answer.
	RelayWriteInterval = 400 * time.Millisecond
	// PeerSilenceTimeout is how long a link may be silent before it counts as cut.
	PeerSilenceTimeout = 3 * time.Second
	// ForwardExpiryInterval is the pause between two searches for forwarded requests that no
	// answer came to.
	ForwardExpiryInterval = 250 * time.Millisecond
	// MaxPeerHops bounds the nodes that carry one message.
	MaxPeerHops = 2
	// LeaderLeaseJitter spreads the candidates' attempts.
	LeaderLeaseJitter = 120 * time.Millisecond
)
