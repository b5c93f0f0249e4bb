package tuning

import "time"

// The event loop and its queues.
const (
	// MinTimerInterval is the least pause after which the event loop looks at its timers by
	// itself. Waking up for one costs a process some 100 microseconds of its
	// share, in system calls more than in code.
	MinTimerInterval = 100 * time.Millisecond
	// MaxTimerInterval is the longest such pause, when no timer is due: well below
	// ProcessPauseThreshold, by which a node knows that it was paused.
	MaxTimerInterval = time.Second
	// EventQueueLength bounds the event queue; beyond it requests are shed.
	EventQueueLength = 4096
	// MinUserQueueLength is the least bound of users' requests under way at one node, so that
	// heartbeats always find room in the queue.
	MinUserQueueLength = 512
	// UserQueueConnectionShare is the share of the users' connections that makes the bound where
	// there are many.
	UserQueueConnectionShare = 0.5
)

// Sockets, links and memory.
const (
	// DialTimeout bounds connecting; packets cross the region in milliseconds.
	DialTimeout = time.Second
	// MaxConnectionsPerHost bounds the connections to one outside system.
	MaxConnectionsPerHost = 16
	// AgentIdleConnectionShare is the share of the socket limit for idle connections to
	// agents; they must not take the rest from accepted ones.
	AgentIdleConnectionShare = 0.03
	// ClientIdleTimeout is how long an idle connection to an agent or outside system is kept.
	ClientIdleTimeout = 20 * time.Second
	// ServerIdleTimeout is how long an idle connection of a user or agent is kept:
	// users poll every 5 s, agents report as often. Connections of machines that
	// hang or are behind a cut are let go.
	ServerIdleTimeout = 20 * time.Second
	// RequestReadTimeout bounds the reading of one request, so that slow or half-open
	// clients never hold a socket for long.
	RequestReadTimeout = 5 * time.Second
	// ReplyTimeout bounds the wait for the event loop's reply; users give up after 5 s.
	ReplyTimeout = 4 * time.Second
	// MaxResponseBytes bounds an answer from outside. A watch's answer has no limit of its own:
	// one that is longer is not read, and its node reads the records again page by page.
	MaxResponseBytes = 32 << 20
	// MaxBodyPreallocationBytes is how many bytes of a request's body are made room for before
	// they have come: most heartbeats are smaller, and hundreds of stalled clients
	// that announce more cost no more than this each.
	MaxBodyPreallocationBytes = 2 << 10
	// ServerConnectionShare is the share of the socket limit for users and agents.
	ServerConnectionShare = 0.8
	// AgentKeepAliveShare is the share up to which an agent's connection is kept open
	// between two heartbeats; the rest are for agents that come for one heartbeat and
	// for the load balancer's probes.
	AgentKeepAliveShare = 0.68
	// UserKeepAliveShare is the same for users: agents' heartbeats go first.
	UserKeepAliveShare = 0.5
	// MinConnections is the least of these numbers, whatever the limit.
	MinConnections = 16
	// AgentCallConnectionShare is the share for calls to agents under way; the links to
	// peers and outside systems need a few dozen.
	AgentCallConnectionShare = 0.08
	// MinPeerQueueLength bounds the messages that wait for a link.
	MinPeerQueueLength = 512
	// PeerBatchBytes is about how many bytes of frames are written, and read, at once.
	PeerBatchBytes = 16 << 10
	// PeerWriteCPUCost is about what a write of gathered heartbeats costs the leader of a
	// core: a read, the waking up, and the write of the answers.
	PeerWriteCPUCost = 250 * time.Microsecond
	// PeerWriteCPUShare is the part of the leader's processor time for these.
	PeerWriteCPUShare = 0.15
	// MaxCoalesceDelay bounds how long heartbeats are gathered: a task's end is known so
	// much later.
	MaxCoalesceDelay = 250 * time.Millisecond
	// PeerRedialDelay is the pause before a peer is dialled again.
	PeerRedialDelay = 500 * time.Millisecond
	// PeerWriteTimeout bounds the writing of one frame.
	PeerWriteTimeout = 3 * time.Second
	// PeerReadTimeout is how long a link may be silent: five heartbeats.
	PeerReadTimeout = 5 * time.Second
	// MaxUrgentEventsPerBatch bounds the answers, peers' messages and heartbeats in one batch of the
	// event loop.
	MaxUrgentEventsPerBatch = 256
	// MaxUserEventsPerBatch bounds the users' requests in it: fewer, so that heartbeats never wait
	// long behind them.
	MaxUserEventsPerBatch = 32
	// GCPercent is the garbage collector's target, in percent of what is in use: it
	// trades memory, of which there is enough, for processor time.
	GCPercent = 300
	// GCMemoryShare is the part of the memory limit that the collector keeps within.
	GCMemoryShare = 0.6
)
