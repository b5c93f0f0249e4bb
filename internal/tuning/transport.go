package tuning

import "time"

// The event loop and its queues.
const (
	// MinTimerInterval is the least pause after which the event loop checks its timers without an
	// event. Waking up for a timer costs a process about 100 microseconds of CPU time, more in
	// system calls than in code.
	MinTimerInterval = 100 * time.Millisecond
	// MaxTimerInterval is the longest pause after which the event loop checks its timers without an
	// event. It applies when no timer is due earlier. It is well below ProcessPauseThreshold, by
	// which a node detects that its process was paused.
	MaxTimerInterval = time.Second
	// EventQueueLength bounds the event queue; beyond it requests are shed.
	EventQueueLength = 4096
	// MinUserQueueLength is the lower bound of the limit on users' requests in progress at one
	// node. The limit ensures that heartbeats always find room in the queue.
	MinUserQueueLength = 512
	// UserQueueConnectionShare is the limit on users' requests in progress, as a share of the
	// connections that are kept open for users, where this is above MinUserQueueLength.
	UserQueueConnectionShare = 0.5
)

// Sockets, links and memory.
const (
	// DialTimeout bounds connecting. Packets cross the region in milliseconds.
	DialTimeout = time.Second
	// MaxConnectionsPerHost bounds the connections to one external system.
	MaxConnectionsPerHost = 16
	// AgentIdleConnectionShare is the share of the socket limit for idle connections to
	// agents. These connections must not use up the sockets for accepted ones.
	AgentIdleConnectionShare = 0.03
	// ClientIdleTimeout is how long an idle connection to an agent or external system is kept.
	ClientIdleTimeout = 20 * time.Second
	// ServerIdleTimeout is how long an idle connection of a user or agent is kept. Users poll
	// every 5 s, and agents send heartbeats as often. Connections of machines that
	// hang or are behind a network partition are closed.
	ServerIdleTimeout = 20 * time.Second
	// RequestReadTimeout bounds the reading of one request, so that slow or half-open
	// clients never hold a socket for long.
	RequestReadTimeout = 5 * time.Second
	// MinPendingTime is how long a connection without a complete request is left alone, even if there
	// are too many connections: users and agents send a request at once.
	MinPendingTime = 250 * time.Millisecond
	// ReplyTimeout bounds the wait for the event loop's reply. Users give up after 5 s.
	ReplyTimeout = 4 * time.Second
	// MaxResponseBytes bounds a response from an external system. A watch's response has no limit
	// of its own: one that is longer than this is not read, and the node reads the records again
	// page by page.
	MaxResponseBytes = 32 << 20
	// MaxBodyPreallocationBytes bounds the buffer that is allocated for a request's body before it
	// has arrived. Most heartbeats are smaller, and hundreds of stalled clients
	// that announce larger bodies cost no more than this each.
	MaxBodyPreallocationBytes = 2 << 10
	// ServerConnectionShare is the share of the socket limit for connections of users and agents.
	ServerConnectionShare = 0.8
	// AgentKeepAliveShare is the share of the socket limit up to which an agent's connection is
	// kept open between two heartbeats. The remaining connections are for agents that connect for
	// one heartbeat and for the load balancer's probes.
	AgentKeepAliveShare = 0.68
	// UserKeepAliveShare is the share of the socket limit up to which a user's connection is kept
	// open between two requests. It is lower, so that agents' heartbeats take precedence.
	UserKeepAliveShare = 0.5
	// MinConnections is the lower bound of each number of connections that the shares above give,
	// however low the socket limit is.
	MinConnections = 16
	// AgentCallConnectionShare is the share of the socket limit for calls to agents in progress.
	// The links to peers and the connections to external systems need a few dozen sockets.
	AgentCallConnectionShare = 0.08
	// MinPeerQueueLength is the least capacity of the queue of messages that wait for a link.
	MinPeerQueueLength = 512
	// PeerBatchBytes is the approximate number of bytes of frames that are written, and read, at
	// once.
	PeerBatchBytes = 16 << 10
	// PeerWriteCPUCost is the approximate CPU time that the leader spends on one write of
	// collected heartbeats by a peer: a read, a wake-up, and the write of the responses.
	PeerWriteCPUCost = 250 * time.Microsecond
	// PeerWriteCPUShare is the share of the leader's CPU time for peers' writes of
	// collected heartbeats.
	PeerWriteCPUShare = 0.15
	// MaxCoalesceDelay bounds how long heartbeats are collected for one write, because this delays
	// the news of a task's end.
	MaxCoalesceDelay = 250 * time.Millisecond
	// PeerRedialDelay is the pause before a peer is dialled again.
	PeerRedialDelay = 500 * time.Millisecond
	// PeerWriteTimeout bounds the writing of one batch of frames.
	PeerWriteTimeout = 3 * time.Second
	// UnlimitedRefusals is the number of refused heartbeats, and of refused links, that are all logged.
	// After them, one in each RefusalLogInterval is.
	UnlimitedRefusals = 20
	// RefusalLogInterval is the interval at which further ones are logged.
	RefusalLogInterval = time.Second
	// MaxUnidentifiedLinks bounds the connections from controllers that have not told their name.
	MaxUnidentifiedLinks = 32
	// MaxLinksPerPeer bounds the links from one peer. The peer uses one; others have broken and
	// are about to be noticed as silent.
	MaxLinksPerPeer = 4
	// PeerReadTimeout is how long a link may be silent: five heartbeats.
	PeerReadTimeout = 5 * time.Second
	// MaxUrgentEventsPerBatch bounds the events that one batch of the event loop takes from
	// each of the two urgent queues: responses with peers' messages, and heartbeats.
	MaxUrgentEventsPerBatch = 256
	// MaxUserEventsPerBatch bounds the users' requests in one batch. It is lower, so that
	// heartbeats never wait long behind them.
	MaxUserEventsPerBatch = 32
	// GCPercent is the garbage collector's target: the growth of the heap between two collections,
	// in percent of the memory in use. It trades memory, of which there is enough, for
	// CPU time.
	GCPercent = 300
	// GCMemoryShare is the share of the process's memory limit within which the garbage collector
	// tries to keep the memory in use.
	GCMemoryShare = 0.6
)
