package membership

import (
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
	"golang.org/x/time/rate"
)

// Leadership is what a heartbeat router needs to know of the leader.
type Leadership interface {
	Now() time.Time
	// Leading says whether this controller has taken over as leader.
	Leading() bool
	// Holder is who holds the leader lease as far as this controller knows, "" if nobody does.
	Holder() protocol.NodeName
	HolderTerm() protocol.Term
	// DirectShare is how many of a thousand agents this controller answers itself as leader.
	DirectShare() uint64
	// RecordsLoaded says whether this controller has read the store's records.
	RecordsLoaded() bool
}

// HeartbeatReplies answers agents' heartbeats by the numbers of their requests, each once.
type HeartbeatReplies interface {
	// Answer answers as leader.
	Answer(requestID uint64, heartbeat *protocol.Heartbeat)
	// Redirect sends an agent to another controller, to whichever it likes if that is "".
	Redirect(requestID uint64, to protocol.NodeName)
	// Refuse tells an agent that its heartbeat has no effect.
	Refuse(requestID uint64, reason string)
}

// HeartbeatRouter finds who answers an agent's heartbeat: this controller as leader, the
// leader by way of this one, or another controller that the agent is sent to.
type HeartbeatRouter struct {
	self      protocol.NodeName
	peers     *Peers
	forwarder *Forwarder
	leader    Leadership
	replies   HeartbeatReplies

	redirects       *rate.Limiter                  // of agents to their proxies
	leaderRedirects *rate.Limiter                  // the same by the leader, to all peers
	contacts        map[protocol.MachineID]contact // agents that send heartbeats here, or did
	queued          []queuedHeartbeat
}

// contact is what a controller remembers of an agent that sends it heartbeats.
type contact struct {
	term         protocol.Term // of the leader at that time
	redirectedAt time.Time     // when it was sent to another controller, zero if it was not
	proxiedAt    time.Time     // when this controller last answered it for the leader as its proxy
}

// queuedHeartbeat is a heartbeat that came while nobody was known to lead.
type queuedHeartbeat struct {
	requestID uint64
	heartbeat *protocol.Heartbeat
	deadline  time.Time
}

// NewHeartbeatRouter makes a router that paces redirects by what they cost of a controller's
// share of a core.
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

// Route answers an agent's heartbeat if this controller leads; otherwise the
// leader's answer is fetched or the agent is sent to it.
func (hr *HeartbeatRouter) Route(requestID uint64, heartbeat *protocol.Heartbeat) {
	hr.route(queuedHeartbeat{requestID, heartbeat, hr.leader.Now().Add(tuning.HeartbeatForwardTimeout)})
}

// route does so for a heartbeat that must be answered by a certain time.
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
		// The agent would try one controller after the other, a second each, until one
		// leads; all of them at once cost the time that an election needs.
		hr.queued = append(hr.queued, q)
	default:
		if to := hr.redirectTarget(machineID, leader); to != "" {
			hr.redirect(q, to)
		} else if !hr.forwarder.ForwardHeartbeat(q.requestID, leader, q.heartbeat, q.deadline) {
			hr.replies.Redirect(q.requestID, "")
		}
	}
}

// routeAsLeader answers a heartbeat, or sends the agent to its proxy.
func (hr *HeartbeatRouter) routeAsLeader(q queuedHeartbeat) {
	machineID := q.heartbeat.Machine
	proxy := hr.peers.ProxyFor(machineID, hr.self, hr.leader.DirectShare())
	if proxy != hr.self && !hr.recentlyRedirected(machineID) && hr.peers.FullyConnected() && hr.takeRedirectToken() {
		hr.redirect(q, proxy)
		return
	}
	hr.replies.Answer(q.requestID, q.heartbeat)
}

// redirectTarget is the controller that an agent should rather send heartbeats to, "" if this one
// fetches the leader's answer for it.
func (hr *HeartbeatRouter) redirectTarget(machineID protocol.MachineID, leader protocol.NodeName) protocol.NodeName {
	now, contact := hr.leader.Now(), hr.contacts[machineID]
	if hr.recentlyRedirected(machineID) {
		return ""
	}
	if !hr.peers.Reachable(leader) {
		if now.Sub(contact.proxiedAt) < tuning.RedirectRetention && hr.takeRedirectToken() {
			// It is here for the leader's sake, and may well reach it. All at once would be
			// more connections than the leader can open; the store relays some meanwhile.
			return leader
		}
		return ""
	}
	if hr.peers.Partitioned(leader) {
		return ""
	}
	status := hr.peers.Status(leader)
	if status.Term != hr.leader.HolderTerm() || status.Leader != leader {
		return "" // it has yet to say how many it answers itself
	}
	to := hr.peers.ProxyFor(machineID, leader, status.DirectShare)
	switch {
	case status.DirectShare >= tuning.DirectShareScale:
	case to == hr.self, !hr.peers.FullyConnected(), !hr.takeRedirectToken():
		// It stays here: the proxy may be what is missing, or others move first.
		contact.proxiedAt = now
		hr.contacts[machineID] = contact
		return ""
	}
	return to
}

// takeRedirectToken says whether one more agent may be sent to its proxy now. After all
// controllers were lost every agent is somewhere, and answering it there costs
// less than the connection that it would open elsewhere: moves have their part of
// the processor time, so that they do not take the time of an election.
// A leader pays nothing for a move that an answer would not cost, and has all of
// its peers to take the agents in.
func (hr *HeartbeatRouter) takeRedirectToken() bool {
	if hr.leader.Leading() {
		return hr.leaderRedirects.AllowN(hr.leader.Now(), 1)
	}
	return hr.redirects.AllowN(hr.leader.Now(), 1)
}

// recentlyRedirected says whether an agent was sent to another controller lately and came
// back: it cannot reach that one then. After a while it is sent again, for the cut may be
// over, and answering it here costs more.
func (hr *HeartbeatRouter) recentlyRedirected(machineID protocol.MachineID) bool {
	contact := hr.contacts[machineID]
	return !contact.redirectedAt.IsZero() && contact.term == hr.leader.HolderTerm() &&
		hr.leader.Now().Sub(contact.redirectedAt) < tuning.RedirectRetention
}

// redirect sends an agent to another controller.
func (hr *HeartbeatRouter) redirect(q queuedHeartbeat, to protocol.NodeName) {
	hr.contacts[q.heartbeat.Machine] = contact{term: hr.leader.HolderTerm(), redirectedAt: hr.leader.Now()}
	hr.replies.Redirect(q.requestID, to)
}

// PruneContacts drops what no longer decides anything.
func (hr *HeartbeatRouter) PruneContacts() {
	now := hr.leader.Now()
	for machineID, contact := range hr.contacts {
		if now.Sub(contact.redirectedAt) > tuning.RedirectRetention && now.Sub(contact.proxiedAt) > tuning.RedirectRetention {
			delete(hr.contacts, machineID)
		}
	}
}

// knowsLeader says whether somebody leads, as far as this controller knows.
func (hr *HeartbeatRouter) knowsLeader() bool {
	holder := hr.leader.Holder()
	return hr.leader.Leading() || holder != "" && holder != hr.self
}

// leaderFromPeers is the leader that some peer knows of while this controller, which has
// just started or cannot read the store, does not; "" if none does.
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

// Queued is how many heartbeats wait for a leader.
func (hr *HeartbeatRouter) Queued() int { return len(hr.queued) }

// RouteQueued routes the heartbeats that waited for a leader once there is one, and, when it
// is time to check for late ones, refuses those that have waited long enough.
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
