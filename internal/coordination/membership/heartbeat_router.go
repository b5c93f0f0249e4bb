package membership

import (
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
	"golang.org/x/time/rate"
)

// Leadership is what a heartbeat router needs to know about the leader.
type Leadership interface {
	Now() time.Time
	// Leading reports whether this controller has taken over as leader.
	Leading() bool
	// Holder returns the holder of the leader lease as far as this controller knows, or "" if
	// nobody holds it.
	Holder() protocol.NodeName
	HolderTerm() protocol.Term
	// DirectShare returns how many of every 1000 agents this controller responds to directly
	// while it leads.
	DirectShare() uint64
	// RecordsLoaded reports whether this controller has loaded the records from the store.
	RecordsLoaded() bool
}

// HeartbeatReplies sends the responses to agents' heartbeats, one for each request ID.
type HeartbeatReplies interface {
	// Answer handles the heartbeat as leader and sends the leader's response.
	Answer(requestID uint64, heartbeat *protocol.Heartbeat)
	// Redirect tells an agent to use another controller, or any controller if to is "".
	Redirect(requestID uint64, to protocol.NodeName)
	// Refuse tells an agent that its heartbeat has no effect.
	Refuse(requestID uint64, reason string)
}

// HeartbeatRouter determines who responds to an agent's heartbeat: this controller as leader, the
// leader through this controller, or another controller that the agent is redirected to.
type HeartbeatRouter struct {
	self      protocol.NodeName
	peers     *Peers
	forwarder *Forwarder
	leader    Leadership
	replies   HeartbeatReplies

	redirects       *rate.Limiter                  // limit on redirects while this controller does not lead
	leaderRedirects *rate.Limiter                  // limit on redirects while it leads
	contacts        map[protocol.MachineID]contact // agents that send heartbeats here, or recently did
	queued          []queuedHeartbeat
}

// contact records how this controller last treated an agent that sent it heartbeats.
type contact struct {
	term         protocol.Term // the leader's term when the agent was redirected
	redirectedAt time.Time     // when the agent was redirected, zero if it was not
	proxiedAt    time.Time     // when this controller last kept the agent, as a proxy of the leader
}

// queuedHeartbeat is a heartbeat that arrived while no leader was known.
type queuedHeartbeat struct {
	requestID uint64
	heartbeat *protocol.Heartbeat
	deadline  time.Time
}

// NewHeartbeatRouter returns a router that limits the rate of redirects to a part of the
// controller's share of a core, given what a redirect costs. While the controller leads, the
// limit is that of all peers together, because they take the redirected agents.
func NewHeartbeatRouter(cfg *config.Config, peers *Peers, forwarder *Forwarder, leader Leadership, replies HeartbeatReplies) *HeartbeatRouter {
	hr := &HeartbeatRouter{self: cfg.Name, peers: peers, forwarder: forwarder, leader: leader, replies: replies,
		redirects: rate.NewLimiter(rate.Inf, 0), leaderRedirects: rate.NewLimiter(rate.Inf, 0),
		contacts: map[protocol.MachineID]contact{}}
	if pause := cfg.Cluster.Process.ThrottleInterval(tuning.RedirectCPUCost, tuning.RedirectCPUShare); pause > 0 {
		hr.redirects = rate.NewLimiter(rate.Every(pause), tuning.MaxRedirectBurst)
		hr.leaderRedirects = rate.NewLimiter(rate.Every(pause/time.Duration(max(1, len(cfg.Peers)))), tuning.MaxRedirectBurst)
	}
	return hr
}

// Route responds to an agent's heartbeat if this controller leads. Otherwise it forwards the
// heartbeat to the leader, redirects the agent, or queues the heartbeat until a leader is known.
func (hr *HeartbeatRouter) Route(requestID uint64, heartbeat *protocol.Heartbeat) {
	hr.route(queuedHeartbeat{requestID, heartbeat, hr.leader.Now().Add(tuning.HeartbeatForwardTimeout)})
}

// route does what Route does, for a heartbeat that already has a deadline.
func (hr *HeartbeatRouter) route(q queuedHeartbeat) {
	machineID, leader := q.heartbeat.Machine, hr.leader.Holder()
	switch {
	case hr.leader.Leading():
		hr.routeAsLeader(q)
	case !hr.knowsLeader():
		if to := hr.leaderFromPeers(); to != "" && !hr.recentlyRedirected(machineID) {
			hr.redirect(q, to)
			return
		}
		// An agent whose heartbeat is refused tries one controller after another, one second
		// each, until one leads. All agents doing so at once would use up the CPU time that an
		// election needs.
		hr.queued = append(hr.queued, q)
	default:
		if to := hr.redirectTarget(machineID, leader); to != "" {
			hr.redirect(q, to)
		} else if !hr.forwarder.ForwardHeartbeat(q.requestID, leader, q.heartbeat, q.deadline) {
			hr.replies.Redirect(q.requestID, "")
		}
	}
}

// routeAsLeader responds to a heartbeat, or redirects the agent to its proxy.
func (hr *HeartbeatRouter) routeAsLeader(q queuedHeartbeat) {
	machineID := q.heartbeat.Machine
	proxy := hr.peers.ProxyFor(machineID, hr.self, hr.leader.DirectShare())
	if proxy != hr.self && !hr.recentlyRedirected(machineID) && hr.peers.FullyConnected() && hr.takeRedirectToken() {
		hr.redirect(q, proxy)
		return
	}
	hr.replies.Answer(q.requestID, q.heartbeat)
}

// redirectTarget returns the controller that an agent should send its heartbeats to, or "" if
// this controller forwards them to the leader.
func (hr *HeartbeatRouter) redirectTarget(machineID protocol.MachineID, leader protocol.NodeName) protocol.NodeName {
	now, contact := hr.leader.Now(), hr.contacts[machineID]
	if hr.recentlyRedirected(machineID) {
		return ""
	}
	if !hr.peers.Reachable(leader) {
		if now.Sub(contact.proxiedAt) < tuning.RedirectRetention && hr.takeRedirectToken() {
			// The agent is here only because this controller acted as the leader's proxy, so it
			// can probably reach the leader itself. Redirects are limited even so: all agents at
			// once would need more new connections than the leader can accept. Until an agent is
			// redirected, its heartbeats may be relayed through the store.
			return leader
		}
		return ""
	}
	if hr.peers.Partitioned(leader) {
		return ""
	}
	status := hr.peers.Status(leader)
	if status.Term != hr.leader.HolderTerm() || status.Leader != leader {
		return "" // the leader has not announced its direct share yet
	}
	to := hr.peers.ProxyFor(machineID, leader, status.DirectShare)
	switch {
	case status.DirectShare >= tuning.DirectShareScale:
	case to == hr.self, !hr.peers.FullyConnected(), !hr.takeRedirectToken():
		// The agent stays here: this controller is its proxy, or a link is missing that may be
		// its proxy's, or other agents are redirected first.
		contact.proxiedAt = now
		hr.contacts[machineID] = contact
		return ""
	}
	return to
}

// takeRedirectToken reports whether one more agent may be redirected now, and counts the
// redirect if so. After an outage of all controllers, agents send their heartbeats to any
// controller. Responding to an agent where it is costs less than the new connection that it
// would open elsewhere. Redirects are therefore limited to a part of the CPU time, so that they
// do not take the time that an election needs. A redirect by the leader costs the leader no more
// than a response, and all of its peers take in the agents, so its limit is higher.
func (hr *HeartbeatRouter) takeRedirectToken() bool {
	if hr.leader.Leading() {
		return hr.leaderRedirects.AllowN(hr.leader.Now(), 1)
	}
	return hr.redirects.AllowN(hr.leader.Now(), 1)
}

// recentlyRedirected reports whether an agent that sends a heartbeat here was redirected within
// tuning.RedirectRetention, under the current leader. Such an agent came back because it cannot
// reach the controller that it was redirected to. After that time it may be redirected again: the
// network partition may be over, and responding to the agent here costs more.
func (hr *HeartbeatRouter) recentlyRedirected(machineID protocol.MachineID) bool {
	contact := hr.contacts[machineID]
	return !contact.redirectedAt.IsZero() && contact.term == hr.leader.HolderTerm() &&
		hr.leader.Now().Sub(contact.redirectedAt) < tuning.RedirectRetention
}

// redirect redirects an agent to another controller and records that.
func (hr *HeartbeatRouter) redirect(q queuedHeartbeat, to protocol.NodeName) {
	hr.contacts[q.heartbeat.Machine] = contact{term: hr.leader.HolderTerm(), redirectedAt: hr.leader.Now()}
	hr.replies.Redirect(q.requestID, to)
}

// PruneContacts removes the contacts that are too old to affect routing.
func (hr *HeartbeatRouter) PruneContacts() {
	now := hr.leader.Now()
	for machineID, contact := range hr.contacts {
		if now.Sub(contact.redirectedAt) > tuning.RedirectRetention && now.Sub(contact.proxiedAt) > tuning.RedirectRetention {
			delete(hr.contacts, machineID)
		}
	}
}

// knowsLeader reports whether this controller leads or knows another leader.
func (hr *HeartbeatRouter) knowsLeader() bool {
	holder := hr.leader.Holder()
	return hr.leader.Leading() || holder != "" && holder != hr.self
}

// leaderFromPeers returns a leader that a reachable peer knows of, or "" if none does. It serves a
// controller that has just started or cannot read the store; one that has loaded the records
// relies on them and gets "".
func (hr *HeartbeatRouter) leaderFromPeers() protocol.NodeName {
	if hr.leader.RecordsLoaded() {
		return ""
	}
	for _, name := range hr.peers.ReachableNames() {
		if leader := hr.peers.Status(name).Leader; leader != "" && leader != hr.self {
			return leader
		}
	}
	return ""
}

// Queued returns the number of heartbeats that wait for a leader.
func (hr *HeartbeatRouter) Queued() int { return len(hr.queued) }

// RouteQueued routes the waiting heartbeats once a leader is known. If expiryDue is set and no
// leader is known, it refuses those whose deadline has passed.
func (hr *HeartbeatRouter) RouteQueued(expiryDue bool) {
	if len(hr.queued) == 0 || !expiryDue && !hr.knowsLeader() {
		return
	}
	waiting := hr.queued
	hr.queued = nil
	for _, q := range waiting {
		switch {
		case hr.knowsLeader():
			hr.route(q)
		case hr.leader.Now().After(q.deadline):
			hr.replies.Refuse(q.requestID, "no leader known")
		default:
			hr.queued = append(hr.queued, q)
		}
	}
}
