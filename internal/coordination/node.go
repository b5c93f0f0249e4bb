// Package coordination is the state machine at the heart of every controller:
// election, users' requests, workers' sessions, placement, repair and fleet.
// It is deterministic: time and events go in, actions come out. It starts no
// goroutine, reads no clock and does no I/O.
package coordination

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/kv"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
	"golang.org/x/time/rate"
)

// Node is one controller.
type Node struct {
	cfg  *config.Config
	log  *slog.Logger
	rng  *rand.Rand
	boot string

	began            time.Time                    // of this life
	confirmedCancels map[protocol.JobID]time.Time // cancellations that users were told of, and since when
	expireCancelsAt  int                          // how many of them are kept before old ones are dropped
	confirmation     peerConfirmation

	now         time.Time
	out         []Action
	nextID      uint64
	pending     map[uint64]func(status int, body []byte)
	writes      *rate.Limiter // puts and deletes of the leader's decisions
	userWrites  *rate.Limiter // puts for users: submissions and cancellations
	relayWrites *rate.Limiter // puts of relayed messages
	stateCalls  *rate.Limiter // requests to the state service
	metrics     Metrics

	types   map[protocol.MachineTypeName]*protocol.MachineType
	typesAt time.Time

	store     kv.Client
	mirror    storage.Mirror
	syncedAt  time.Time        // every change made before then is in the mirror
	awaited   observedRevision // a revision that the mirror has yet to reach
	loading   bool
	loadSent  time.Time // when the first page was asked for
	watching  bool
	watchAt   time.Time // when the watch may be opened again
	watchSent time.Time // when it was opened
	loadAt    time.Time
	// when the state service last served this node, and when it was last asked
	servedAt, askedAt time.Time
	unanswered        bool // it did not answer the last request
	limitsLowered     bool // it has refused what its limits used to allow

	finals map[protocol.JobID]storage.Final
	polls  []poll
	pollAt time.Time

	timers []timer

	lease leaderLease
	lead  *leader

	names           []protocol.NodeName // of all controllers, in order
	peers           map[protocol.NodeName]*peer
	beatAt          time.Time
	forwarded       map[uint64]forwardedRequest    // requests that peers answer
	expireAt        time.Time                      // when they are looked over for late ones
	received        map[uint64]receivedRequest     // requests of peers that this node answers
	delegated       map[uint64]delegatedCall       // calls that peers make
	redirects       *rate.Limiter                  // of workers to their proxies
	leaderRedirects *rate.Limiter                  // the same by the leader, to all peers
	contacts        map[protocol.MachineID]contact // workers that report here, or did
	queuedReports   []queuedReport
	outboxes        map[protocol.NodeName]*outbox
}

// New makes a node. The seed feeds its random pauses; boot tells this life of
// the process from earlier ones.
func New(cfg *config.Config, log *slog.Logger, seed uint64, boot string) *Node {
	n := &Node{
		cfg: cfg, log: log, boot: boot,
		rng:              rand.New(rand.NewPCG(seed, 1)),
		pending:          map[uint64]func(int, []byte){},
		types:            map[protocol.MachineTypeName]*protocol.MachineType{},
		finals:           map[protocol.JobID]storage.Final{},
		confirmedCancels: map[protocol.JobID]time.Time{},
		peers:            map[protocol.NodeName]*peer{},
		forwarded:        map[uint64]forwardedRequest{},
		received:         map[uint64]receivedRequest{},
		delegated:        map[uint64]delegatedCall{},
		contacts:         map[protocol.MachineID]contact{},
		outboxes:         map[protocol.NodeName]*outbox{},
	}
	n.store = kv.New(n)
	n.names = []protocol.NodeName{cfg.Name}
	for _, s := range cfg.Peers {
		n.peers[s.Name] = &peer{}
		n.names = append(n.names, s.Name)
	}
	slices.Sort(n.names)
	n.redirects, n.leaderRedirects = rate.NewLimiter(rate.Inf, 0), rate.NewLimiter(rate.Inf, 0)
	if pause := cfg.Cluster.Resources.Pause(tuning.RedirectCPUCost, tuning.RedirectCPUShare); pause > 0 {
		n.redirects = rate.NewLimiter(rate.Every(pause), tuning.MaxConcurrentRedirects)
		n.leaderRedirects = rate.NewLimiter(rate.Every(pause/time.Duration(max(1, len(cfg.Peers)))), tuning.MaxConcurrentRedirects)
	}
	n.setBudgets()
	// Answers name the request by its number and may come late, after the process
	// has ended and begun again: numbers of different lives must not meet.
	n.nextID = n.rng.Uint64() >> 24
	return n
}

// Leading says whether the node leads.
func (n *Node) Leading() bool { return n.lead != nil }

// Step takes events and the present time and returns what is to be done.
func (n *Node) Step(now time.Time, events []Event) []Action {
	gap := now.Sub(n.now)
	if n.now.IsZero() {
		gap, n.began = 0, now
	}
	n.now, n.out = now, nil
	if gap >= tuning.ProcessPauseThreshold {
		n.resume(gap)
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
		if !n.forwardIfUnserved(e.ID, submission(e.Job)) {
			n.submit(e.ID, e.Job)
		}
	case Query:
		if !n.forwardIfUnserved(e.ID, protocol.PeerUserRequest{Operation: verbQuery, Job: e.Job}) {
			n.query(e.ID, e.Job)
		}
	case Cancel:
		if !n.forwardIfUnserved(e.ID, protocol.PeerUserRequest{Operation: verbCancel, Job: e.Job}) {
			n.cancel(e.ID, e.Job)
		}
	case WorkerReport:
		n.routeReport(e.ID, e.Report)
	case PeerUp:
		n.peerUp(e.Peer)
	case PeerDown:
		n.peerDown(e.Peer)
	case PeerReceive:
		n.peerReceive(e.Peer, e.Link, e.Message)
	}
}

func (n *Node) tick() {
	n.tickTimers()
	n.tickMirror()
	n.tickState()
	n.tickTypes()
	n.tickElection()
	n.tickPeers()
	n.flushOutboxes()
	if n.mayAct() {
		n.lead.tick()
	}
	n.flushPolls()
	n.startLeading() // at the end: what it leads to is done in the next step
}

// Ready says whether the node can take requests. An outage of the state
// service that all nodes share makes none of them unready: they answer at
// once that the user should come back.
func (n *Node) Ready() bool {
	if !n.mirror.Ready() || len(n.types) == 0 {
		return false
	}
	if n.now.Sub(n.servedAt) < tuning.IsolationTimeout {
		return true
	}
	alone := len(n.peers) > 0
	for name, p := range n.peers {
		if !n.isReachable(name) {
			continue
		}
		alone = false
		if p.status.StateOK {
			return false
		}
	}
	return !alone // cut off from everybody: users should go elsewhere
}

// unique makes a string that no other write, rental or process uses.
func (n *Node) unique() string {
	n.nextID++
	return n.boot + "-" + strconv.FormatUint(n.nextID, 36)
}
