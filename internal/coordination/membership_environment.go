package coordination

import (
	"time"

	"github.com/gappond/gappond/internal/coordination/api"
	"github.com/gappond/gappond/internal/coordination/membership"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// peerEnvironment implements membership.Environment and membership.ForwarderEnvironment. The
// embedded userReplies sends the replies to forwarded requests.
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

// Forwarded implements membership.ForwarderEnvironment.
func (pe peerEnvironment) Forwarded(request membership.ForwardedRequest, response protocol.PeerResponse) {
	if request.Job == "" {
		pe.userReplies.Forwarded(api.Delivery{RequestID: request.ID}, response)
		return
	}
	pe.n.api.Forwarded(request.ID, request.Job, request.SentAt, response)
}

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

// directShare returns how many of a thousand agents send their heartbeats to the leader directly:
// all, if the leader's limits on CPU time and sockets suffice for them. Otherwise it returns
// fewer than these limits allow, so that enough CPU time is left for scheduling. The
// heartbeats of the other agents arrive on the links between controllers, many in one read.
func (l *leader) directShare() uint64 {
	limits := l.n.cfg.Cluster.Process
	if limits.Cores <= 0 || len(l.cluster.OrderedMachines) == 0 || len(l.n.cfg.Peers) == 0 {
		return tuning.DirectShareScale
	}
	maxDirect := limits.Cores * tuning.HeartbeatCPUShare / tuning.HeartbeatCPUCost.Seconds() * l.n.cfg.Cluster.Agents.ReportS
	if limits.FDLimit > 0 {
		maxDirect = min(maxDirect, float64(limits.FDLimit)*tuning.AgentKeepAliveShare)
	}
	machines := float64(len(l.cluster.OrderedMachines))
	// Hysteresis: a fleet about as large as the limit must not make agents switch back and forth.
	l.usingProxies = machines > maxDirect || l.usingProxies && machines > maxDirect*tuning.DirectResumeShare
	if !l.usingProxies {
		return tuning.DirectShareScale
	}
	// The share changes in steps, so that few agents change their proxy as the fleet grows.
	return uint64(min(maxDirect*tuning.RetainedAgentShare/machines, 1)*tuning.DirectShareSteps) * tuning.DirectShareScale / tuning.DirectShareSteps
}

// usesProxies reports whether peers handle heartbeats and commands of a part of the agents for the
// leader.
func (l *leader) usesProxies() bool { return l.directShare() < tuning.DirectShareScale }
