// Package coordination is the state machine at the heart of every controller. It composes
// the packages below it: Node owns election, mirror, peers, users' requests and, while it
// leads, a leader with scheduler, autoscaler and agents; it hands them events and steps them.
// It is deterministic: time and events go in, actions come out. It starts no
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
	boot string

	startedAt time.Time // of this life

	now     time.Time
	out     []Action
	nextID  uint64
	pending map[uint64]func(status int, body []byte)
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
	ownLeader *leader

	peers     *membership.Peers
	forwarder *membership.Forwarder
	router    *membership.HeartbeatRouter
}

// New makes a node. The seed feeds its random pauses; boot tells this life of
// the process from earlier ones.
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
	// Answers name the request by its number and may come late, after the process
	// has ended and begun again: numbers of different lives must not meet.
	n.nextID = n.rng.Uint64() >> 24
	return n
}

// mayAct says whether the node may command agents and write records now.
func (n *Node) mayAct() bool { return n.ownLeader != nil && n.election.MayAct() }

// Leading says whether the node leads.
func (n *Node) Leading() bool { return n.ownLeader != nil }

// Step takes events and the present time and returns what is to be done.
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
	n.api.CheckQueries()
	if n.ownLeader == nil && n.election.MayStartLeading() {
		n.startLeading() // at the end: what it leads to is done in the next step
	}
}

// Ready says whether the node can take requests. An outage of the
// store that all nodes share makes none of them unready: they answer at
// once that the user should come back.
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
	// Cut off from everybody: users should go elsewhere.
	return n.peers.Count() == 0 || len(n.peers.ReachableNames()) > 0
}

// uniqueName makes a string that no other write, rental or process uses.
func (n *Node) uniqueName() string {
	n.nextID++
	return n.boot + "-" + strconv.FormatUint(n.nextID, 36)
}
