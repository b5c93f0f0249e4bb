package coordination

import (
	"maps"
	"slices"
	"time"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
)

// peer is a peer as this node sees it.
type peer struct {
	up     bool
	heard  time.Time
	status protocol.PeerStatus
	link   uint64 // the newest link from it
	level  uint64 // what it has announced on that link that it knows
}

func (n *Node) peerUp(name protocol.NodeName) {
	if p := n.peers[name]; p != nil {
		p.up, p.heard = true, n.now
		n.beatAt = time.Time{}
	}
}

func (n *Node) peerDown(name protocol.NodeName) {
	if p := n.peers[name]; p != nil {
		p.up = false
	}
}

// isReachable says whether the link to a peer is there and alive.
func (n *Node) isReachable(name protocol.NodeName) bool {
	p := n.peers[name]
	return p != nil && p.up && n.now.Sub(p.heard) < tuning.PeerSilenceTimeout
}

// reachablePeers lists the peers within reach, in order of their names.
func (n *Node) reachablePeers() []protocol.NodeName {
	var l []protocol.NodeName
	for _, s := range n.cfg.Peers {
		if n.isReachable(s.Name) {
			l = append(l, s.Name)
		}
	}
	slices.Sort(l)
	return l
}

// route finds the peer to hand a message for target to: the target itself,
// or a third controller that reaches it. "" if there is none.
func (n *Node) route(target protocol.NodeName) protocol.NodeName {
	if n.isReachable(target) {
		return target
	}
	for _, name := range n.reachablePeers() {
		if slices.Contains(n.peers[name].status.Links, target) {
			return name
		}
	}
	return ""
}

func (n *Node) sendTo(target protocol.NodeName, m protocol.PeerMessage) bool {
	via := n.route(target)
	if via == "" {
		return n.relayViaState(target, m)
	}
	n.out = append(n.out, PeerSend{Peer: via, Message: m})
	return true
}

func (n *Node) tickPeers() {
	late := !n.now.Before(n.expireAt)
	if len(n.queuedReports) > 0 && (late || n.knowsLeader()) {
		n.routeQueuedReports()
	}
	if late {
		n.expireAt = n.now.Add(tuning.ForwardExpiryInterval)
		// In the order of their numbers: the same seed must give the same run.
		for _, id := range slices.Sorted(maps.Keys(n.forwarded)) {
			if c := n.forwarded[id]; n.now.After(c.expire) {
				delete(n.forwarded, id)
				n.refuse(c.reply, "leader does not answer")
			}
		}
		for _, id := range slices.Sorted(maps.Keys(n.delegated)) {
			if d, ok := n.delegated[id]; ok && n.now.After(d.expire) {
				delete(n.delegated, id)
				d.done(0, nil)
			}
		}
	}
	if n.now.Before(n.beatAt) {
		return
	}
	n.beatAt = n.now.Add(tuning.PeerHeartbeatInterval)
	for name, c := range n.contacts {
		if n.now.Sub(c.redirectedAt) > tuning.RedirectRetention && n.now.Sub(c.proxiedAt) > tuning.RedirectRetention {
			delete(n.contacts, name)
		}
	}
	status := protocol.PeerStatus{Term: protocol.Term(n.lease.revision), Leader: n.lease.holder, StateOK: n.now.Sub(n.servedAt) < tuning.StoreServedFreshness, Links: n.reachablePeers()}
	if n.lead != nil {
		status.DirectShare = n.lead.directShare()
	}
	for _, s := range n.cfg.Peers {
		p := n.peers[s.Name]
		if p.up && n.now.Sub(p.heard) > 2*tuning.PeerSilenceTimeout {
			p.heard = n.now // one reset at a time
			n.out = append(n.out, PeerReset{Peer: s.Name})
		} else if p.up {
			n.out = append(n.out, PeerSend{Peer: s.Name, Message: protocol.Announcement(s.Name)}, PeerSend{Peer: s.Name, Message: status})
		}
	}
}

func (n *Node) peerReceive(from protocol.NodeName, link uint64, m protocol.PeerMessage) {
	p := n.peers[from]
	if p == nil {
		return
	}
	p.heard = n.now
	if link > p.link {
		p.link, p.level = link, 0 // another process perhaps, and an older version
	}
	if level, ok := protocol.Announced(m); ok {
		if link == p.link {
			p.level = level // one held back on an earlier link says nothing of this one
		}
		return
	}
	switch m := m.(type) {
	case protocol.PeerHello:
	case protocol.PeerStatus:
		p.status = m
	case protocol.PeerConfirmRequest:
		n.confirm(from, m)
	case protocol.PeerConfirmation:
		n.takeConfirmation(from, m)
	default:
		n.deliver(m)
	}
}

// allKnow says whether every controller has announced a level on its newest link.
func (n *Node) allKnow(level uint64) bool {
	for _, p := range n.peers {
		if p.level < level {
			return false
		}
	}
	return true
}

// announceCancel tells the leader of a cancellation that is in the records, so that
// it need not wait for its watch, or for the state service to serve it again.
func (n *Node) announceCancel(jobID protocol.JobID) {
	if n.lead != nil {
		n.lead.cancelFromPeer(jobID)
		return
	}
	to := n.lease.holder
	if p := n.peers[to]; p != nil && p.level >= protocol.PeerKnowsCancelled && n.isReachable(to) {
		n.out = append(n.out, PeerSend{Peer: to, Message: protocol.PeerCancellation{Job: jobID}})
	}
}

// deliver takes a message that came over a link or through the state service.
func (n *Node) deliver(m protocol.PeerMessage) {
	switch m := m.(type) {
	case protocol.PeerForwardedHeartbeat:
		if m.Target != n.cfg.Name {
			m.Hops++
			n.passAlong(m.Target, m.Hops, m)
			return
		}
		status, body := n.takeReport(m.Heartbeat)
		n.sendTo(m.Origin, protocol.PeerResponse{ID: m.ID, Target: m.Origin, Status: uint64(status), Body: storage.Encode(body)})
	case protocol.PeerUserRequest:
		n.handleForwarded(m)
	case protocol.PeerAgentCall:
		n.callFor(m)
	case protocol.PeerCancellation:
		if n.lead != nil {
			n.lead.cancelFromPeer(m.Job)
		}
	case protocol.PeerResponse:
		if m.Target != n.cfg.Name {
			m.Hops++
			n.passAlong(m.Target, m.Hops, m)
			return
		}
		if d, ok := n.delegated[m.ID]; ok {
			delete(n.delegated, m.ID)
			d.done(int(m.Status), m.Body)
		} else if c, ok := n.forwarded[m.ID]; ok {
			delete(n.forwarded, m.ID)
			r := Reply{ID: c.reply, Status: int(m.Status), Body: m.Body}
			if r.Status == 503 {
				r.RetryAfter = time.Second
			}
			n.answer(r)
		}
	}
}

// passAlong carries a message between two peers, unless it goes in circles.
func (n *Node) passAlong(target protocol.NodeName, hops uint64, m protocol.PeerMessage) {
	if hops <= tuning.MaxPeerHops {
		n.sendTo(target, m)
	}
}

// isPartitioned says whether a peer that this node reaches is out of the leader's
// reach: the network has a cut, and workers behind it cannot reach the leader.
func (n *Node) isPartitioned(leader protocol.NodeName) bool {
	for _, name := range n.reachablePeers() {
		if name != leader && !slices.Contains(n.peers[leader].status.Links, name) {
			return true
		}
	}
	return false
}

// fullyConnected says whether every link between controllers that this node knows of is
// there.
func (n *Node) fullyConnected() bool {
	links := n.reachablePeers()
	if len(links) < len(n.cfg.Peers) {
		return false
	}
	for _, name := range links {
		if len(n.peers[name].status.Links) < len(n.cfg.Peers) {
			return false
		}
	}
	return true
}
