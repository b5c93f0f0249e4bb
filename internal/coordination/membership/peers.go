// Package membership is a controller's dealings with its peers: which of them it reaches,
// what they know and say of themselves, messages by way of links, of third controllers or
// of the key-value store, users' requests and agents' heartbeats that another controller
// has to answer, and which controller answers an agent as the leader's proxy.
//
// It decides on nothing of jobs or machines, and what a message asks for is carried out by
// its callers.
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

// Environment is what peers need of the controller.
type Environment interface {
	Now() time.Time
	// UniqueName makes a name that no other write has.
	UniqueName() string
	// Send sends a message over the link to a peer.
	Send(peer protocol.NodeName, message protocol.PeerMessage)
	// ResetLink closes the link to a peer, so that it is dialled anew.
	ResetLink(peer protocol.NodeName)
	// StoreServedAt is when the key-value store last served this controller.
	StoreServedAt() time.Time
	// TakeRelayWrite says whether store-relayed messages may be written now, and counts that.
	TakeRelayWrite() bool
	// Deliver takes a message that came by way of the store.
	Deliver(message protocol.PeerMessage)
}

// peer is a peer as this controller sees it.
type peer struct {
	linkUp       bool
	lastHeardAt  time.Time
	status       protocol.PeerStatus
	link         uint64 // the newest link from it
	featureLevel uint64 // what it has announced on that link that it knows
	outbox       outbox
}

// Peers are the other controllers.
type Peers struct {
	cfg   *config.Config
	log   *slog.Logger
	env   Environment
	store kv.Client

	peers           map[protocol.NodeName]*peer
	configOrder     []protocol.NodeName // of the settings
	controllers     []protocol.NodeName // of all controllers, sorted
	nextHeartbeatAt time.Time
}

// NewPeers makes the peers of the settings, none of them reached yet.
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

// Count is how many peers there are.
func (p *Peers) Count() int { return len(p.peers) }

// LinkUp notes that there is a link to a peer.
func (p *Peers) LinkUp(name protocol.NodeName) {
	if peer := p.peers[name]; peer != nil {
		peer.linkUp, peer.lastHeardAt = true, p.env.Now()
		p.nextHeartbeatAt = time.Time{}
	}
}

// LinkDown notes that the last link to a peer is gone.
func (p *Peers) LinkDown(name protocol.NodeName) {
	if peer := p.peers[name]; peer != nil {
		peer.linkUp = false
	}
}

// Receive notes what a message over a link says of the peer itself; false if it comes
// from nobody, or says nothing else.
func (p *Peers) Receive(from protocol.NodeName, link uint64, message protocol.PeerMessage) bool {
	peer := p.peers[from]
	if peer == nil {
		return false
	}
	peer.lastHeardAt = p.env.Now()
	if link > peer.link {
		peer.link, peer.featureLevel = link, 0 // another process perhaps, and an older version
	}
	if level, ok := protocol.AnnouncedFeatureLevel(message); ok {
		if link == peer.link {
			peer.featureLevel = level // one held back on an earlier link says nothing of this one
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

// Reachable says whether the link to a peer is there and alive.
func (p *Peers) Reachable(name protocol.NodeName) bool {
	peer := p.peers[name]
	return peer != nil && peer.linkUp && p.env.Now().Sub(peer.lastHeardAt) < tuning.PeerSilenceTimeout
}

// ReachableNames lists the peers within reach, in order of their names.
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

// Status is what a peer last said of itself.
func (p *Peers) Status(name protocol.NodeName) protocol.PeerStatus {
	if peer := p.peers[name]; peer != nil {
		return peer.status
	}
	return protocol.PeerStatus{}
}

// NamesWithStoreAccess lists the peers within reach that the store serves, in order of their names.
func (p *Peers) NamesWithStoreAccess() []protocol.NodeName {
	return slices.DeleteFunc(p.ReachableNames(), func(name protocol.NodeName) bool { return !p.peers[name].status.HasStoreAccess })
}

// Supports says whether a peer can be reached and has announced a level on its newest link.
func (p *Peers) Supports(name protocol.NodeName, level uint64) bool {
	return p.Reachable(name) && p.peers[name].featureLevel >= level
}

// AllSupport says whether every peer has announced a level on its newest link.
func (p *Peers) AllSupport(level uint64) bool {
	return p.everyPeerSupports(level, func(*peer) bool { return true })
}

// AllConnectedSupport says the same of the peers that there is a link to.
func (p *Peers) AllConnectedSupport(level uint64) bool {
	return p.everyPeerSupports(level, func(peer *peer) bool { return peer.linkUp })
}

func (p *Peers) everyPeerSupports(level uint64, counts func(*peer) bool) bool {
	for _, peer := range p.peers {
		if counts(peer) && peer.featureLevel < level {
			return false
		}
	}
	return true
}

// Partitioned says whether a peer that this controller reaches is out of the leader's
// reach: the network has a cut, and agents behind it cannot reach the leader.
func (p *Peers) Partitioned(leader protocol.NodeName) bool {
	for _, name := range p.ReachableNames() {
		if name != leader && !slices.Contains(p.peers[leader].status.Links, name) {
			return true
		}
	}
	return false
}

// FullyConnected says whether every link between controllers that this one knows of is there.
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

// ProxyFor is the controller that answers an agent when all links are there: the leader
// for as many agents of a thousand as its direct share, the others in equal parts for the
// rest. All controllers reckon the same.
func (p *Peers) ProxyFor(machineID protocol.MachineID, leader protocol.NodeName, directShare uint64) protocol.NodeName {
	h := fnv.New32a()
	h.Write([]byte(machineID))
	sum := uint64(h.Sum32())
	if sum%tuning.DirectShareScale < directShare || len(p.controllers) < 2 {
		return leader
	}
	at := sum / tuning.DirectShareScale % uint64(len(p.controllers)-1)
	if p.controllers[at] >= leader {
		at++ // the leader is left out
	}
	return p.controllers[at]
}

// route finds the peer to hand a message for target to: the target itself,
// or a third controller that reaches it. "" if there is none.
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

// Send sends a message to a peer by the best way there is; false if there is none.
func (p *Peers) Send(target protocol.NodeName, message protocol.PeerMessage) bool {
	via := p.route(target)
	if via == "" {
		return p.relay(target, message)
	}
	p.env.Send(via, message)
	return true
}

// ForwardMessage carries a message between two peers, unless it goes in circles.
func (p *Peers) ForwardMessage(target protocol.NodeName, hops uint64, message protocol.PeerMessage) {
	if hops <= tuning.MaxPeerHops {
		p.Send(target, message)
	}
}

// HeartbeatDue says whether the peers are to hear of this controller's status now.
func (p *Peers) HeartbeatDue() bool { return !p.env.Now().Before(p.nextHeartbeatAt) }

// TriggerHeartbeat has the peers hear of this controller's status in the next step.
func (p *Peers) TriggerHeartbeat() { p.nextHeartbeatAt = p.env.Now() }

// SendHeartbeats tells the peers of this controller's status, and resets links that have
// gone silent.
func (p *Peers) SendHeartbeats(status protocol.PeerStatus) {
	now := p.env.Now()
	p.nextHeartbeatAt = now.Add(tuning.PeerHeartbeatInterval)
	status.Links = p.ReachableNames()
	for _, name := range p.configOrder {
		peer := p.peers[name]
		switch {
		case !peer.linkUp:
		case now.Sub(peer.lastHeardAt) > 2*tuning.PeerSilenceTimeout:
			peer.lastHeardAt = now // one reset at a time
			p.env.ResetLink(name)
		default:
			p.env.Send(name, protocol.FeatureLevelAnnouncement(name))
			p.env.Send(name, status)
		}
	}
}

// Due tells when the peers are to hear of this controller, and when store-relayed messages
// may be written.
func (p *Peers) Due(by func(time.Time)) {
	by(p.nextHeartbeatAt)
	for _, name := range p.configOrder {
		if box := &p.peers[name].outbox; len(box.frames) > 0 && !box.writing {
			by(box.nextWriteAt)
		}
	}
}
