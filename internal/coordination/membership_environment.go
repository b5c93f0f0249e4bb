package coordination

import (
	"time"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// peerEnvironment implements membership.Environment and membership.ForwarderEnvironment;
// the replies to forwarded requests are those to users.
type peerEnvironment struct {
	n *Node
	userReplies
}

// Now implements membership.Environment.
func (pe peerEnvironment) Now() time.Time { return pe.n.now }

// UniqueName implements membership.Environment.
func (pe peerEnvironment) UniqueName() string { return pe.n.uniqueName() }

// Send implements membership.Environment.
func (pe peerEnvironment) Send(peer protocol.NodeName, message protocol.PeerMessage) {
	pe.n.out = append(pe.n.out, PeerSend{Peer: peer, Message: message})
}

// ResetLink implements membership.Environment.
func (pe peerEnvironment) ResetLink(peer protocol.NodeName) {
	pe.n.out = append(pe.n.out, PeerLinkReset{Peer: peer})
}

// StoreServedAt implements membership.Environment.
func (pe peerEnvironment) StoreServedAt() time.Time { return pe.n.storeAccess.lastServedAt }

// TakeRelayWrite implements membership.Environment.
func (pe peerEnvironment) TakeRelayWrite() bool { return pe.n.budgets.takeRelayWrite(pe.n.now) }

// Deliver implements membership.Environment.
func (pe peerEnvironment) Deliver(message protocol.PeerMessage) { pe.n.deliver(message) }

// NextID implements membership.ForwarderEnvironment.
func (pe peerEnvironment) NextID() uint64 {
	pe.n.nextID++
	return pe.n.nextID
}

// leadership implements membership.Leadership.
type leadership struct{ n *Node }

// Now implements membership.Leadership.
func (ls leadership) Now() time.Time { return ls.n.now }

// Leading implements membership.Leadership.
func (ls leadership) Leading() bool { return ls.n.ownLeader != nil }

// Holder implements membership.Leadership.
func (ls leadership) Holder() protocol.NodeName { return ls.n.election.Holder() }

// HolderTerm implements membership.Leadership.
func (ls leadership) HolderTerm() protocol.Term { return ls.n.election.HolderTerm() }

// DirectShare implements membership.Leadership.
func (ls leadership) DirectShare() uint64 { return ls.n.ownLeader.directShare() }

// RecordsLoaded implements membership.Leadership.
func (ls leadership) RecordsLoaded() bool { return ls.n.mirror.Ready() }

// directShare is how many of a thousand agents the leader answers itself: all if its
// share of a core and of sockets can pay for them, else a part of what it could
// pay for, so that planning has the rest. The others' heartbeats come over the
// controllers' links, many in one read.
func (l *leader) directShare() uint64 {
	r := l.n.cfg.Cluster.Process
	if r.Cores <= 0 || len(l.cluster.OrderedMachines) == 0 || len(l.n.cfg.Peers) == 0 {
		return tuning.DirectShareScale
	}
	most := r.Cores * tuning.HeartbeatCPUShare / tuning.HeartbeatCPUCost.Seconds() * l.n.cfg.Cluster.Agents.ReportS
	if r.FDLimit > 0 {
		most = min(most, float64(r.FDLimit)*tuning.AgentKeepAliveShare)
	}
	fleet := float64(len(l.cluster.OrderedMachines))
	// A fleet about as large as the limit must not come and go.
	l.usingProxies = fleet > most || l.usingProxies && fleet > most*tuning.DirectResumeShare
	if !l.usingProxies {
		return tuning.DirectShareScale
	}
	// In steps, so that few agents change their proxy as the fleet grows.
	return uint64(min(most*tuning.RetainedAgentShare/fleet, 1)*tuning.DirectShareSteps) * tuning.DirectShareScale / tuning.DirectShareSteps
}

// usesProxies says whether the peers do a part of the leader's dealings with
// agents.
func (l *leader) usesProxies() bool { return l.directShare() < tuning.DirectShareScale }
