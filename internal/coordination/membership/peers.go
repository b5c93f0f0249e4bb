// Package membership handles a controller's communication with its peers. It tracks which
// peers are reachable, and the status and feature level that each has announced. It sends
// messages over links between controllers, through a third controller or through the key-value
// store. It forwards users' requests and agents' heartbeats that another controller has to
// handle, and determines which controller responds to an agent as the leader's proxy.
//
// It makes no decisions about jobs or machines. Its callers carry out what a message asks for.
package membership

import (
	"hash/fnv"
	"log/slog"
	"slices"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// Environment is what Peers needs from the controller.
type Environment interface {
	Now() time.Time
	// UniqueName returns a name that no other write uses.
	UniqueName() string
	// Send sends a message over the link to a peer.
	Send(peer protocol.NodeName, message protocol.PeerMessage)
	// ResetLink closes the link to a peer, so that the peer is dialled again.
	ResetLink(peer protocol.NodeName)
	// StoreServedAt returns the time at which the key-value store last served this controller.
	StoreServedAt() time.Time
	// TakeRelayWrite reports whether messages for a peer may be written to the store now, and
	// counts the write if so.
	TakeRelayWrite() bool
	// Deliver handles a message that arrived through the store.
	Deliver(message protocol.PeerMessage)
}

// peer is a peer as this controller sees it.
type peer struct {
	linkUp       bool
	lastHeardAt  time.Time
	status       protocol.PeerStatus
	link         uint64 // number of the newest link from the peer
	featureLevel uint64 // announced by the peer on that link
	outbox       outbox
}

// Peers tracks the other controllers and sends them messages.
type Peers struct {
	cfg   *config.Config
	log   *slog.Logger
	env   Environment
	store kv.Client

	peers           map[protocol.NodeName]*peer
	configOrder     []protocol.NodeName // peers in the order of the settings
	controllers     []protocol.NodeName // names of all controllers, this one included, sorted
	nextHeartbeatAt time.Time
}

// NewPeers returns the peers that the settings name, none of them connected yet.
func NewPeers(cfg *config.Config, log *slog.Logger, store kv.Client, env Environment) *Peers {
	p := &Peers{cfg: cfg, log: log, store: store, env: env,
		peers: map[protocol.NodeName]*peer{}, controllers: []protocol.NodeName{cfg.Name}}
	for _, settings := range cfg.Peers {
		p.Add(settings.Name)
	}
	return p
}

// Add adds a peer.
func (p *Peers) Add(name protocol.NodeName) {
	p.peers[name] = &peer{}
	p.configOrder = append(p.configOrder, name)
	p.controllers = append(p.controllers, name)
	slices.Sort(p.controllers)
}

// Count returns the number of peers.
func (p *Peers) Count() int { return len(p.peers) }

// LinkUp records that there is a link to a peer, and makes a heartbeat to the peers due.
func (p *Peers) LinkUp(name protocol.NodeName) {
	if peer := p.peers[name]; peer != nil {
		peer.linkUp, peer.lastHeardAt = true, p.env.Now()
		p.nextHeartbeatAt = time.Time{}
	}
}

// LinkDown records that the last link to a peer is gone.
func (p *Peers) LinkDown(name protocol.NodeName) {
	if peer := p.peers[name]; peer != nil {
		peer.linkUp = false
	}
}

// Receive updates what is known about a peer from a message that arrived over a link. It returns
// true if the caller must handle the message too, and false if the message only describes the
// peer itself or its sender is unknown.
func (p *Peers) Receive(from protocol.NodeName, link uint64, message protocol.PeerMessage) bool {
	peer := p.peers[from]
	if peer == nil {
		return false
	}
	peer.lastHeardAt = p.env.Now()
	if link > peer.link {
		peer.link, peer.featureLevel = link, 0 // perhaps restarted with an older version
	}
	if featureLevel, ok := protocol.AnnouncedFeatureLevel(message); ok {
		if link == peer.link {
			peer.featureLevel = featureLevel // an announcement from an earlier link does not count
		}
		return false
	}
	switch message := message.(type) {
	case protocol.PeerHello:
		return false
	case protocol.PeerStatus:
		peer.status = message
		return false
	}
	return true
}

// Reachable reports whether the link to a peer is up and has not been silent for too long.
func (p *Peers) Reachable(name protocol.NodeName) bool {
	peer := p.peers[name]
	return peer != nil && peer.linkUp && p.env.Now().Sub(peer.lastHeardAt) < tuning.PeerSilenceTimeout
}

// ReachableNames returns the names of the reachable peers, sorted.
func (p *Peers) ReachableNames() []protocol.NodeName {
	var names []protocol.NodeName
	for _, name := range p.configOrder {
		if p.Reachable(name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Status returns the latest status that a peer has sent.
func (p *Peers) Status(name protocol.NodeName) protocol.PeerStatus {
	if peer := p.peers[name]; peer != nil {
		return peer.status
	}
	return protocol.PeerStatus{}
}

// NamesWithStoreAccess returns the names of the reachable peers that the store serves, sorted.
func (p *Peers) NamesWithStoreAccess() []protocol.NodeName {
	return slices.DeleteFunc(p.ReachableNames(), func(name protocol.NodeName) bool { return !p.peers[name].status.HasStoreAccess })
}

// Supports reports whether a peer is reachable and has announced at least this feature level on
// its newest link.
func (p *Peers) Supports(name protocol.NodeName, featureLevel uint64) bool {
	return p.Reachable(name) && p.peers[name].featureLevel >= featureLevel
}

// RunsEarlierVersion reports whether a peer is reachable and has announced a lower feature level on its
// newest link.
func (p *Peers) RunsEarlierVersion(name protocol.NodeName, featureLevel uint64) bool {
	return p.Reachable(name) && p.peers[name].featureLevel > 0 && p.peers[name].featureLevel < featureLevel
}

// AllSupport reports whether every peer has announced at least this feature level on its newest
// link.
func (p *Peers) AllSupport(featureLevel uint64) bool {
	return p.everyPeerSupports(featureLevel, func(*peer) bool { return true })
}

// AllConnectedSupport reports the same, but considers only the peers to which a link is up.
func (p *Peers) AllConnectedSupport(featureLevel uint64) bool {
	return p.everyPeerSupports(featureLevel, func(peer *peer) bool { return peer.linkUp })
}

func (p *Peers) everyPeerSupports(featureLevel uint64, include func(*peer) bool) bool {
	for _, peer := range p.peers {
		if include(peer) && peer.featureLevel < featureLevel {
			return false
		}
	}
	return true
}

// Partitioned reports whether a peer that this controller can reach is missing from the
// leader's links. The network is partitioned then, and agents on that peer's side of the
// partition cannot reach the leader.
func (p *Peers) Partitioned(leader protocol.NodeName) bool {
	for _, name := range p.ReachableNames() {
		if name != leader && !slices.Contains(p.peers[leader].status.Links, name) {
			return true
		}
	}
	return false
}

// FullyConnected reports whether every controller has links to all others, according to this
// controller's own links and those that its peers report.
func (p *Peers) FullyConnected() bool {
	reachable := p.ReachableNames()
	if len(reachable) < len(p.configOrder) {
		return false
	}
	for _, name := range reachable {
		if len(p.peers[name].status.Links) < len(p.configOrder) {
			return false
		}
	}
	return true
}

// ProxyFor returns the controller that responds to an agent's heartbeats while all links are up.
// That is the leader itself for directShare of every 1000 agents; the other controllers divide
// the rest equally. All controllers compute the same result.
func (p *Peers) ProxyFor(machineID protocol.MachineID, leader protocol.NodeName, directShare uint64) protocol.NodeName {
	h := fnv.New32a()
	h.Write([]byte(machineID))
	hash := uint64(h.Sum32())
	if hash%tuning.DirectShareScale < directShare || len(p.controllers) < 2 {
		return leader
	}
	index := hash / tuning.DirectShareScale % uint64(len(p.controllers)-1)
	if p.controllers[index] >= leader {
		index++ // skips the leader
	}
	return p.controllers[index]
}

// route returns the peer to which a message for target is sent: the target itself, or a third
// controller that has a link to it. It returns "" if there is none.
func (p *Peers) route(target protocol.NodeName) protocol.NodeName {
	if p.Reachable(target) {
		return target
	}
	for _, name := range p.ReachableNames() {
		if slices.Contains(p.peers[name].status.Links, target) {
			return name
		}
	}
	return ""
}

// Send sends a message to a peer over its link or through a third controller, or else queues it
// to go through the store. It returns false if none of these is possible.
func (p *Peers) Send(target protocol.NodeName, message protocol.PeerMessage) bool {
	via := p.route(target)
	if via == "" {
		return p.relay(target, message)
	}
	p.env.Send(via, message)
	return true
}

// SendSupported sends a message to a peer that supports a feature level, over its link or through a third
// controller that supports it too. It reports whether there is such a path.
func (p *Peers) SendSupported(target protocol.NodeName, featureLevel uint64, message protocol.PeerMessage) bool {
	via := p.route(target)
	if via == "" || !p.Supports(via, featureLevel) {
		return false
	}
	p.env.Send(via, message)
	return true
}

// ForwardSupported passes on a message between two peers over the link to the target, if the target
// supports the feature level.
func (p *Peers) ForwardSupported(target protocol.NodeName, hops, featureLevel uint64, message protocol.PeerMessage) {
	if hops <= tuning.MaxPeerHops {
		p.SendSupported(target, featureLevel, message)
	}
}

// ForwardMessage passes on a message between two peers. It drops a message that has made more
// than tuning.MaxPeerHops hops, so that none circulates forever.
func (p *Peers) ForwardMessage(target protocol.NodeName, hops uint64, message protocol.PeerMessage) {
	if hops <= tuning.MaxPeerHops {
		p.Send(target, message)
	}
}

// HeartbeatDue reports whether it is time to send the peers this controller's status.
func (p *Peers) HeartbeatDue() bool { return !p.env.Now().Before(p.nextHeartbeatAt) }

// TriggerHeartbeat makes a heartbeat to the peers due at once.
func (p *Peers) TriggerHeartbeat() { p.nextHeartbeatAt = p.env.Now() }

// SendHeartbeats sends the connected peers this controller's feature level and status, and
// resets links that have been silent for more than twice tuning.PeerSilenceTimeout.
func (p *Peers) SendHeartbeats(status protocol.PeerStatus) {
	now := p.env.Now()
	p.nextHeartbeatAt = now.Add(tuning.PeerHeartbeatInterval)
	status.Links = p.ReachableNames()
	for _, name := range p.configOrder {
		peer := p.peers[name]
		switch {
		case !peer.linkUp:
		case now.Sub(peer.lastHeardAt) > 2*tuning.PeerSilenceTimeout:
			peer.lastHeardAt = now // the next reset comes only after another such silence
			p.env.ResetLink(name)
		default:
			p.env.Send(name, protocol.FeatureLevelAnnouncement(name))
			p.env.Send(name, status)
		}
	}
}

// Due calls wakeBy with the time of the next heartbeat to the peers, and with the times at which
// queued messages may be written to the store.
func (p *Peers) Due(wakeBy func(time.Time)) {
	wakeBy(p.nextHeartbeatAt)
	for _, name := range p.configOrder {
		if box := &p.peers[name].outbox; len(box.frames) > 0 && !box.writing {
			wakeBy(box.nextWriteAt)
		}
	}
}
