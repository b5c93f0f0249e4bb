package tuning

import (
	"time"
)

// Nodes.
const (
	// WatchTimeoutMargin is how much longer than asked a watch may take to return.
	WatchTimeoutMargin = 3 * time.Second
	// IsolationTimeout is how long a node may miss the state service, while a peer
	// reaches it, before it asks to be spared users' requests.
	IsolationTimeout = 5 * time.Second
	// StoreUnreachableTimeout is how long requests to the state service must have gone
	// unanswered for users to be turned away at once: two time-outs.
	StoreUnreachableTimeout = 3 * time.Second
	// StoreProbeInterval is how long a node asks the state service for nothing before
	// it asks just to know whether it is served.
	StoreProbeInterval = time.Second
	// StoreServedFreshness is how fresh the last served request must be for a node to
	// tell its peers that the state service serves it: less than AloneAfter,
	// so that in an outage no node takes an old word for a sign of life.
	StoreServedFreshness = 1500 * time.Millisecond
	// PeerHeartbeatInterval is the interval of the peers' beats.
	PeerHeartbeatInterval = time.Second
	// RelayWriteInterval is the least pause between two values written for a peer
	// that no link leads to: few enough for the write budget, often enough for
	// a worker that waits 4 s for its answer.
	RelayWriteInterval = 400 * time.Millisecond
	// PeerSilenceTimeout is how long a link may be silent before it counts as cut.
	PeerSilenceTimeout = 3 * time.Second
	// ForwardExpiryInterval is the pause between two looks for forwarded requests that no
	// answer came to.
	ForwardExpiryInterval = 250 * time.Millisecond
	// MaxPeerHops bounds the nodes that carry one message.
	MaxPeerHops = 2
	// LeaderLeaseJitter spreads the candidates' attempts.
	LeaderLeaseJitter = 120 * time.Millisecond
)

// Sockets.
const (
	// DialTimeout bounds connecting; packets cross the region in milliseconds.
	DialTimeout = time.Second
	// MaxConnectionsPerHost bounds the connections to one outside system.
	MaxConnectionsPerHost = 16
	// AgentIdleConnectionShare is the share of the socket limit for idle connections to
	// workers; they must not take the rest from accepted ones.
	AgentIdleConnectionShare = 0.03
	// ClientIdleTimeout is how long an idle connection to a worker or outside system is kept.
	ClientIdleTimeout = 20 * time.Second
	// ServerIdleTimeout is how long an idle connection of a user or worker is kept:
	// users poll every 5 s, workers report as often. Connections of machines that
	// hang or are behind a cut are let go.
	ServerIdleTimeout = 20 * time.Second
	// RequestReadTimeout bounds the reading of one request, so that slow or half-open
	// clients never hold a socket for long.
	RequestReadTimeout = 5 * time.Second
	// ReplyTimeout bounds the owner's answer; users give up after 5 s.
	ReplyTimeout = 4 * time.Second
	// MaxResponseBytes bounds an answer from outside. A watch's answer has no limit of its own:
	// one that is longer is not read, and its node reads the records again page by page.
	MaxResponseBytes = 32 << 20
	// TrustedBodyBytes is how many bytes of a request's body are made room for before
	// they have come: most reports are smaller, and hundreds of stalled clients
	// that announce more cost no more than this each.
	TrustedBodyBytes = 2 << 10
	// ServerConnectionShare is the share of the socket limit for users and workers.
	ServerConnectionShare = 0.8
	// AgentKeepAliveShare is the share up to which a worker's connection is kept open
	// between two reports; the rest are for workers that come for one report and
	// for the load balancer's probes.
	AgentKeepAliveShare = 0.68
	// UserKeepAliveShare is the same for users: workers' reports go first.
	UserKeepAliveShare = 0.5
	// MinConnections is the least of these numbers, whatever the limit.
	MinConnections = 16
	// AgentCallConnectionShare is the share for calls to workers under way; the links to
	// peers and outside systems need a few dozen.
	AgentCallConnectionShare = 0.08
	// MinPeerQueueLength bounds the messages that wait for a link.
	MinPeerQueueLength = 512
	// PeerBatchBytes is about how many bytes of frames are written, and read, at once.
	PeerBatchBytes = 16 << 10
	// PeerWriteCPUCost is about what a write of gathered reports costs the leader of a
	// core: a read, the waking up, and the write of the answers.
	PeerWriteCPUCost = 250 * time.Microsecond
	// PeerWriteCPUShare is the part of the leader's processor time for these.
	PeerWriteCPUShare = 0.15
	// MaxCoalesceDelay bounds how long reports are gathered: a task's end is known so
	// much later.
	MaxCoalesceDelay = 250 * time.Millisecond
	// PeerRedialDelay is the pause before a peer is dialled again.
	PeerRedialDelay = 500 * time.Millisecond
	// PeerWriteTimeout bounds the writing of one frame.
	PeerWriteTimeout = 3 * time.Second
	// PeerReadTimeout is how long a link may be silent: five beats.
	PeerReadTimeout = 5 * time.Second
	// MaxUrgentEventsPerBatch bounds the answers, peers' messages and reports in one batch of the
	// owner.
	MaxUrgentEventsPerBatch = 256
	// MaxUserEventsPerBatch bounds the users' requests in it: fewer, so that reports never wait
	// long behind them.
	MaxUserEventsPerBatch = 32
	// GCPercent is the garbage collector's target, in percent of what is in use: it
	// trades memory, of which there is enough, for processor time.
	GCPercent = 300
	// GCMemoryShare is the part of the memory limit that the collector keeps within.
	GCMemoryShare = 0.6
)
