// Package coordination is the state machine of a controller. It composes the packages below it: a
// Node owns the election, the mirror, the peers, the users' requests and, while it leads, a leader
// with scheduler, autoscaler and agents. The node passes events to them and runs their timers.
// It is deterministic: its inputs are the time and events, its outputs are actions. It starts no
// goroutine, reads no clock and does no I/O.
package coordination

import (
	"log/slog"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/api"
	"github.com/gappond/gappond/internal/coordination/commit"
	"github.com/gappond/gappond/internal/coordination/election"
	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/coordination/membership"
	"github.com/gappond/gappond/internal/coordination/mirror"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// Node is one controller.
type Node struct {
	cfg  *config.Config
	log  *slog.Logger
	rng  *rand.Rand
	boot string // identifies this process

	startedAt time.Time // when this process ran its first step

	now     time.Time
	out     []Action // of the current step
	nextID  uint64
	pending map[uint64]func(status int, body []byte) // response handlers by request ID
	budgets storeBudgets
	metrics Metrics

	store        kv.Client
	mirror       *mirror.Mirror
	machineTypes machineTypes
	storeAccess  storeAccess
	storeLimits  *commit.KnownLimits

	api *api.Service

	timers []timer

	election  *election.Election
	ownLeader *leader // nil unless this node leads

	peers     *membership.Peers
	forwarder *membership.Forwarder
	router    *membership.HeartbeatRouter
}

// New returns a node. The seed initialises the random number generator for its random delays.
// boot distinguishes this process from earlier processes of the node.
func New(cfg *config.Config, log *slog.Logger, seed uint64, boot string) *Node {
	n := &Node{
		cfg: cfg, log: log, boot: boot, storeLimits: commit.NewKnownLimits(cfg),
		rng:     rand.New(rand.NewPCG(seed, 1)),
		pending: map[uint64]func(int, []byte){},
	}
	n.store = kv.New(n)
	n.mirror = mirror.New(cfg.Cluster.Process, log, n.store, mirrorEnvironment{n})
	n.machineTypes = machineTypes{n: n, byName: map[protocol.MachineTypeName]*protocol.MachineType{}}
	n.budgets = newStoreBudgets(cfg)
	n.api = api.New(cfg, n.machineTypes.byName, &n.mirror.Mirror, n.store, &n.budgets, userReplies{n}, apiEnvironment{n})
	peerEnv := peerEnvironment{n, userReplies{n}}
	n.peers = membership.NewPeers(cfg, log, n.store, peerEnv)
	n.forwarder = membership.NewForwarder(cfg.Name, n.peers, peerEnv)
	n.router = membership.NewHeartbeatRouter(cfg, n.peers, n.forwarder, leadership{n}, heartbeatReplies{n})
	electionEnv := electionEnvironment{n}
	n.election = election.New(cfg, log, n.rng, n.store, electionEnv, n.mirror, electionEnv)
	// Responses carry the ID of the request and may arrive late, after the process was restarted.
	// A random start keeps the IDs of successive processes apart.
	n.nextID = n.rng.Uint64() >> 24
	return n
}

// mayAct reports whether the node may send commands to agents and write records now.
func (n *Node) mayAct() bool { return n.ownLeader != nil && n.election.MayAct() }

// Leading reports whether the node leads.
func (n *Node) Leading() bool { return n.ownLeader != nil }

// Step handles events and timers at the given time and returns the actions to be carried out.
func (n *Node) Step(now time.Time, events []Event) []Action {
	gap := now.Sub(n.now)
	if n.now.IsZero() {
		gap, n.startedAt = 0, now
	}
	n.now, n.out = now, nil
	if gap >= tuning.ProcessPauseThreshold {
		n.election.ProcessPaused(gap)
	}
	for _, e := range events {
		n.handle(e)
	}
	n.tick()
	return n.out
}

func (n *Node) handle(e Event) {
	switch e := e.(type) {
	case Response:
		if done := n.pending[e.ID]; done != nil {
			delete(n.pending, e.ID)
			done(e.Status, e.Body)
		}
	case Submit:
		if !n.forwardIfStoreUnavailable(e.ID, submissionRequest(e.Job)) {
			n.api.Submit(e.ID, e.Job)
		}
	case StatusQuery:
		if !n.forwardIfStoreUnavailable(e.ID, protocol.PeerUserRequest{Operation: operationQuery, Job: e.Job}) {
			n.api.Query(e.ID, e.Job)
		}
	case Cancel:
		if !n.forwardIfStoreUnavailable(e.ID, protocol.PeerUserRequest{Operation: operationCancel, Job: e.Job}) {
			n.api.Cancel(e.ID, e.Job)
		}
	case AgentHeartbeat:
		n.router.Route(e.ID, e.Heartbeat)
	case PeerLinkUp:
		n.peers.LinkUp(e.Peer)
	case PeerLinkDown:
		n.peers.LinkDown(e.Peer)
	case PeerReceive:
		n.receive(e.Peer, e.Link, e.Message)
	}
}

func (n *Node) tick() {
	n.tickTimers()
	n.mirror.Tick()
	n.probeStore()
	n.machineTypes.tick()
	n.election.Tick()
	n.tickPeers()
	n.peers.WriteRelayed()
	if n.mayAct() {
		n.ownLeader.tick()
	}
	n.api.Tick()
	if n.ownLeader == nil && n.election.MayStartLeading() {
		n.startLeading() // last, so that the new leader's first tick runs in the next step
	}
}

// Ready reports whether the node can handle users' requests. In an outage of the store that
// affects all nodes, every node stays ready and tells users at once to try again.
func (n *Node) Ready() bool {
	if !n.mirror.Ready() || len(n.machineTypes.byName) == 0 {
		return false
	}
	if n.storeAccess.servedWithin(n.now, tuning.IsolationTimeout) {
		return true
	}
	if len(n.peers.NamesWithStoreAccess()) > 0 {
		return false
	}
	// A node that is cut off from the store and all peers is not ready: users should go to others.
	return n.peers.Count() == 0 || len(n.peers.ReachableNames()) > 0
}

// uniqueName returns a string that no other write, machine request or process uses.
func (n *Node) uniqueName() string {
	n.nextID++
	return n.boot + "-" + strconv.FormatUint(n.nextID, 36)
}
