package coordination

import (
	"hash/fnv"
	"net/http"
	"time"

	"github.com/gappond/gappond/internal/coordination/agents"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// delegatedCall is a call that a peer makes for the leader.
type delegatedCall struct {
	done   func(status int, body []byte)
	expire time.Time
}

// contact is what a node remembers of a worker that reports to it.
type contact struct {
	term         protocol.Term // of the leader at that time
	redirectedAt time.Time     // when it was sent to another node, zero if it was not
	proxiedAt    time.Time     // when this node last answered it for the leader as its proxy
}

// queuedReport is a report that came while nobody was known to lead.
type queuedReport struct {
	id     uint64
	report *protocol.Heartbeat
	expire time.Time
}

// directShare is how many of a thousand workers the leader answers itself: all if its
// share of a core and of sockets can pay for them, else a part of what it could
// pay for, so that planning has the rest. The others' reports come over the
// controllers' links, many in one read.
func (l *leader) directShare() uint64 {
	r := l.n.cfg.Cluster.Resources
	if r.Cores <= 0 || len(l.cluster.OrderedMachines) == 0 || len(l.n.cfg.Peers) == 0 {
		return tuning.DirectShareScale
	}
	most := r.Cores * tuning.HeartbeatCPUShare / tuning.HeartbeatCPUCost.Seconds() * l.n.cfg.Cluster.Workers.ReportS
	if r.FDLimit > 0 {
		most = min(most, float64(r.FDLimit)*tuning.AgentKeepAliveShare)
	}
	fleet := float64(len(l.cluster.OrderedMachines))
	// A fleet about as large as the limit must not come and go.
	l.proxying = fleet > most || l.proxying && fleet > most*tuning.ProxyReleaseShare
	if !l.proxying {
		return tuning.DirectShareScale
	}
	// In steps, so that few workers change their proxy as the fleet grows.
	return uint64(min(most*tuning.RetainedAgentShare/fleet, 1)*tuning.DirectShareSteps) * tuning.DirectShareScale / tuning.DirectShareSteps
}

// usesProxies says whether the peers do a part of the leader's dealings with
// workers.
func (l *leader) usesProxies() bool { return l.directShare() < tuning.DirectShareScale }

// proxyFor is the node that answers a worker when all links are there: the leader
// for as many workers as it keeps, the others in equal parts for the rest. All
// nodes reckon the same.
func (n *Node) proxyFor(machineID protocol.MachineID, leader protocol.NodeName, keeps uint64) protocol.NodeName {
	h := fnv.New32a()
	h.Write([]byte(machineID))
	sum := uint64(h.Sum32())
	if sum%tuning.DirectShareScale < keeps || len(n.names) < 2 {
		return leader
	}
	at := sum / tuning.DirectShareScale % uint64(len(n.names)-1)
	if n.names[at] >= leader {
		at++ // the leader is left out
	}
	return n.names[at]
}

// routeReport answers a worker's report if this node leads; otherwise the
// leader's answer is fetched or the worker is sent to it.
func (n *Node) routeReport(id uint64, r *protocol.Heartbeat) {
	n.forward(id, r, n.now.Add(tuning.HeartbeatForwardTimeout))
}

// forward does so for a report that must be answered by a certain time.
func (n *Node) forward(id uint64, r *protocol.Heartbeat, expire time.Time) {
	if n.lease.term != 0 && n.lead != nil {
		if front := n.proxyFor(r.Machine, n.cfg.Name, n.lead.directShare()); front != n.cfg.Name && !n.redirectedLately(r.Machine) && n.fullyConnected() && n.mayRedirect() {
			n.redirect(id, r, front)
			return
		}
		status, body := n.takeReport(r)
		n.reply(id, status, body)
		return
	}
	leader := n.lease.holder
	if !n.knowsLeader() {
		if to := n.leaderFromPeers(); to != "" && !n.redirectedLately(r.Machine) {
			n.redirect(id, r, to)
			return
		}
		// The worker would try one node after the other, a second each, until one
		// leads; all of them at once cost the time that an election needs.
		n.queuedReports = append(n.queuedReports, queuedReport{id, r, expire})
		return
	}
	if to := n.redirectTarget(r.Machine, leader); to != "" {
		n.redirect(id, r, to)
		return
	}
	n.nextID++
	if !n.sendTo(leader, protocol.PeerForwardedHeartbeat{ID: n.nextID, Origin: n.cfg.Name, Target: leader, Heartbeat: r}) {
		n.reply(id, 421, protocol.Redirect{})
		return
	}
	n.forwarded[n.nextID] = forwardedRequest{reply: id, expire: expire}
}

// redirectTarget is the node that a worker should rather report to, "" if this one
// fetches the leader's answer for it.
func (n *Node) redirectTarget(machineID protocol.MachineID, leader protocol.NodeName) protocol.NodeName {
	c := n.contacts[machineID]
	if n.redirectedLately(machineID) {
		return ""
	}
	if !n.isReachable(leader) {
		if n.now.Sub(c.proxiedAt) < tuning.RedirectRetention && n.mayRedirect() {
			// It is here for the leader's sake, and may well reach it. All at once would
			// be more connections than the leader can open; relayed messages carries some meanwhile.
			return leader
		}
		return ""
	}
	if n.isPartitioned(leader) {
		return ""
	}
	s := n.peers[leader].status
	if s.Term != protocol.Term(n.lease.revision) || s.Leader != leader {
		return "" // it has yet to say how many it keeps
	}
	to := n.proxyFor(machineID, leader, s.DirectShare)
	switch {
	case s.DirectShare >= tuning.DirectShareScale:
	case to == n.cfg.Name, !n.fullyConnected(), !n.mayRedirect():
		// It stays here: the proxy may be what is missing, or others move first.
		c.proxiedAt = n.now
		n.contacts[machineID] = c
		return ""
	}
	return to
}

// mayRedirect says whether one more worker may be sent to its proxy now. After all
// controllers were lost every worker is somewhere, and answering it there costs
// less than the connection that it would open elsewhere: moves have their part of
// the processor time, so that they do not take the time of an election.
// A leader pays nothing for a move that an answer would not cost, and has all of
// its peers to take the workers in.
func (n *Node) mayRedirect() bool {
	if n.lead != nil {
		return n.leaderRedirects.AllowN(n.now, 1)
	}
	return n.redirects.AllowN(n.now, 1)
}

// redirectedLately says whether a worker was sent to another node lately and came back:
// it cannot reach that one then. After a while it is sent again, for the cut may be
// over, and answering it here costs more.
func (n *Node) redirectedLately(machineID protocol.MachineID) bool {
	c := n.contacts[machineID]
	return !c.redirectedAt.IsZero() && c.term == protocol.Term(n.lease.revision) && n.now.Sub(c.redirectedAt) < tuning.RedirectRetention
}

// redirect sends a worker to another node.
func (n *Node) redirect(id uint64, r *protocol.Heartbeat, to protocol.NodeName) {
	n.contacts[r.Machine] = contact{term: protocol.Term(n.lease.revision), redirectedAt: n.now}
	n.reply(id, 421, protocol.Redirect{Target: to})
}

// knowsLeader says whether somebody leads, as far as this node knows.
func (n *Node) knowsLeader() bool {
	return n.lead != nil || n.lease.holder != "" && n.lease.holder != n.cfg.Name
}

// leaderFromPeers is the leader that some peer knows of while this node, which has
// just started or cannot read the state service, does not; "" if none does.
func (n *Node) leaderFromPeers() protocol.NodeName {
	if n.mirror.Ready() {
		return ""
	}
	for _, name := range n.reachablePeers() {
		if l := n.peers[name].status.Leader; l != "" && l != n.cfg.Name {
			return l
		}
	}
	return ""
}

// routeQueuedReports routes the reports that waited for a leader once there is one, and
// sends the workers on that have waited long enough.
func (n *Node) routeQueuedReports() {
	waiting := n.queuedReports
	n.queuedReports = nil
	for _, p := range waiting {
		switch {
		case n.knowsLeader():
			n.forward(p.id, p.report, p.expire)
		case n.now.After(p.expire):
			n.reply(p.id, 503, protocol.ErrorBody{Error: "no leader known"})
		default:
			n.queuedReports = append(n.queuedReports, p)
		}
	}
}

// takeReport is the leader's answer to a heartbeat, forwarded or not.
func (n *Node) takeReport(heartbeat *protocol.Heartbeat) (status int, body any) {
	result := n.answerHeartbeat(heartbeat)
	switch result.Outcome {
	case agents.Accepted:
		return http.StatusOK, protocol.HeartbeatResponse{FencingToken: result.FencingToken, Commands: result.Commands}
	case agents.Stale:
		return http.StatusServiceUnavailable, protocol.ErrorBody{Error: "an older report"}
	case agents.HigherToken:
		return http.StatusServiceUnavailable, protocol.ErrorBody{Error: "a higher token than this leader's"}
	case agents.LeadershipUnconfirmed:
		return http.StatusServiceUnavailable, protocol.ErrorBody{Error: "not sure to lead"}
	}
	return http.StatusMisdirectedRequest, protocol.Redirect{}
}

// answerHeartbeat takes a heartbeat if this node leads.
func (n *Node) answerHeartbeat(heartbeat *protocol.Heartbeat) agents.HeartbeatResult {
	switch {
	case n.lead == nil || !n.hasAuthority():
		return agents.HeartbeatResult{Outcome: agents.NotLeading}
	case n.lead.agents.Heartbeats.RefuseHigherToken(heartbeat):
		return agents.HeartbeatResult{Outcome: agents.HigherToken}
	case n.lease.unconfirmed:
		return agents.HeartbeatResult{Outcome: agents.LeadershipUnconfirmed}
	}
	return n.lead.agents.Heartbeats.Accept(heartbeat)
}
