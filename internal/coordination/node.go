// Package coordination is the state machine at the heart of every controller:
// election, users' requests, workers' sessions, placement, repair and fleet.
// It is deterministic: time and events go in, actions come out. It starts no
// goroutine, reads no clock and does no I/O.
package coordination

import (
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gappond/gappond/internal/bookkeeping"
	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
	"golang.org/x/time/rate"
)

// Target is the outside system that a request goes to.
type Target int

// The outside systems.
const (
	ToState Target = iota
	ToClaim        // the state service, on a connection kept for renewals of the claim
	ToCloud
	ToWorker
)

// Action is something the owner must do for the node.
type Action interface{ action() }

// Request calls an outside system. Exactly one Response with its ID follows.
type Request struct {
	ID      uint64
	To      Target
	Address string // of a worker
	Method  string
	Path    string
	Body    []byte
	Timeout time.Duration
}

// Reply answers a user or a worker.
type Reply struct {
	ID         uint64
	Status     int
	Body       []byte
	RetryAfter time.Duration
}

// PeerSend sends a message to a sibling, if there is a link.
type PeerSend struct {
	Peer    string
	Message protocol.PeerMessage
}

// PeerReset closes a link that has gone silent, so that it is dialled anew.
type PeerReset struct{ Peer string }

func (Request) action()   {}
func (Reply) action()     {}
func (PeerSend) action()  {}
func (PeerReset) action() {}

// Event is something that happened to the node.
type Event interface{ event() }

// Response ends a Request. Status 0: no answer came, the request may have been
// executed or may yet be.
type Response struct {
	ID     uint64
	Status int
	Body   []byte
}

// Submit is a user's valid submission.
type Submit struct {
	ID  uint64
	Job *protocol.Job
}

// Query is a user's poll.
type Query struct {
	ID  uint64
	Job string
}

// Cancel is a user's cancellation.
type Cancel struct {
	ID  uint64
	Job string
}

// WorkerReport is a worker's report that this node was sent.
type WorkerReport struct {
	ID     uint64
	Report *protocol.Report
}

// PeerUp and PeerDown say that a link to a sibling exists or no longer does.
type PeerUp struct{ Peer string }

// PeerDown says that the last link to a sibling is gone.
type PeerDown struct{ Peer string }

// PeerReceive is a message from a sibling. The links that a process accepts are
// numbered as they come; a link begins with PeerHello.
type PeerReceive struct {
	Peer    string
	Link    uint64
	Message protocol.PeerMessage
}

func (Response) event()     {}
func (Submit) event()       {}
func (Query) event()        {}
func (Cancel) event()       {}
func (WorkerReport) event() {}
func (PeerUp) event()       {}
func (PeerDown) event()     {}
func (PeerReceive) event()  {}

// Node is one controller.
type Node struct {
	cfg  *config.Config
	log  *slog.Logger
	rng  *rand.Rand
	boot string

	began   time.Time            // of this life
	told    map[string]time.Time // cancellations that users were told of, and since when
	vouched vouching

	now     time.Time
	out     []Action
	nextID  uint64
	pending map[uint64]func(status int, body []byte)
	writes  *rate.Limiter // puts and deletes of the leader's decisions
	admits  *rate.Limiter // puts for users: submissions and cancellations
	letters *rate.Limiter // puts of mail
	calls   *rate.Limiter // requests to the state service
	metrics Metrics

	types   map[string]*protocol.MachineType
	typesAt time.Time

	mirror    bookkeeping.Mirror
	known     time.Time // every change made before then is in the mirror
	ahead     sighting  // a revision that the mirror has yet to reach
	loading   bool
	loadSent  time.Time // when the first page was asked for
	watching  bool
	watchAt   time.Time // when the watch may be opened again
	watchSent time.Time // when it was opened
	loadAt    time.Time
	// when the state service last served this node, and when it was last asked
	served, asked time.Time
	silent        bool // it did not answer the last request
	lowered       bool // it has refused what its limits used to allow

	finals map[string]bookkeeping.Final
	polls  []poll
	pollAt time.Time

	timers []timer

	claim claimState
	lead  *leader

	names     []string // of all controllers, in order
	peers     map[string]*peer
	beatAt    time.Time
	carried   map[uint64]carried   // requests that siblings answer
	expireAt  time.Time            // when they are looked over for late ones
	carriedIn map[uint64]carriedIn // requests of siblings that this node answers
	delegated map[uint64]delegated // calls that siblings make
	moves     *rate.Limiter        // of workers to their fronts
	sheds     *rate.Limiter        // the same by the leader, to all siblings
	contacts  map[string]contact   // workers that report here, or did
	parked    []parked
	mail      map[string]*mailbox
}

// New makes a node. The seed feeds its random pauses; boot tells this life of
// the process from earlier ones.
func New(cfg *config.Config, log *slog.Logger, seed uint64, boot string) *Node {
	n := &Node{
		cfg: cfg, log: log, boot: boot,
		rng:       rand.New(rand.NewPCG(seed, 1)),
		pending:   map[uint64]func(int, []byte){},
		types:     map[string]*protocol.MachineType{},
		finals:    map[string]bookkeeping.Final{},
		told:      map[string]time.Time{},
		peers:     map[string]*peer{},
		carried:   map[uint64]carried{},
		carriedIn: map[uint64]carriedIn{},
		delegated: map[uint64]delegated{},
		contacts:  map[string]contact{},
		mail:      map[string]*mailbox{},
	}
	n.names = []string{cfg.Name}
	for _, s := range cfg.Siblings {
		n.peers[s.Name] = &peer{}
		n.names = append(n.names, s.Name)
	}
	slices.Sort(n.names)
	n.moves, n.sheds = rate.NewLimiter(rate.Inf, 0), rate.NewLimiter(rate.Inf, 0)
	if pause := cfg.Cluster.Resources.Pause(tuning.MoveCost, tuning.MoveShare); pause > 0 {
		n.moves = rate.NewLimiter(rate.Every(pause), tuning.MovesAtOnce)
		n.sheds = rate.NewLimiter(rate.Every(pause/time.Duration(max(1, len(cfg.Siblings)))), tuning.MovesAtOnce)
	}
	n.setShares()
	// Answers name the request by its number and may come late, after the process
	// has ended and begun again: numbers of different lives must not meet.
	n.nextID = n.rng.Uint64() >> 24
	return n
}

// setShares divides the state service's budgets. Of the writes the users of
// every node and mail have parts of their own; the leader's decisions have
// whatever these leave, which it knows from the changes that its watch sees.
// Requests are divided in equal parts.
func (n *Node) setShares() {
	budget := func(limit float64, burst int) *rate.Limiter {
		return rate.NewLimiter(rate.Limit(limit), max(burst, int(limit)))
	}
	nodes, state := float64(len(n.cfg.Siblings)+1), n.cfg.Cluster.State
	n.calls = budget(state.RPS*tuning.CallShare/nodes, 1)
	n.writes = budget(state.WriteRPS*tuning.WriteShare, 2)
	n.admits = budget(state.WriteRPS*tuning.UserShare/nodes, state.TxnOps)
	n.letters = budget(state.WriteRPS*tuning.MailShare/nodes, state.TxnOps)
}

// spend takes one write from what the state service accepts: one of this node's
// own or one that the watch shows. It never runs into debt: what was missed in
// a gap of the watch is over.
func (n *Node) spend() { n.writes.AllowN(n.now, 1) }

// ownWrite says whether a record was written by this life of this node.
func (n *Node) ownWrite(value json.RawMessage) bool {
	return strings.HasPrefix(bookkeeping.Writer(value), n.boot+"-")
}

// mayRead says whether the budget leaves room for a user's request: what the
// node itself needs, renewals and decisions above all, comes first.
func (n *Node) mayRead() bool {
	return n.calls.TokensAt(n.now) >= 1+float64(n.calls.Burst())*tuning.UserReserve
}

// mayWrite says the same of a user's write, and takes it from the budget: the
// users' own or what is kept for mail and mostly not needed.
func (n *Node) mayWrite() bool {
	if !n.mayRead() {
		return false
	}
	if n.admits.AllowN(n.now, 1) || n.letters.TokensAt(n.now) > float64(n.letters.Burst())/2 && n.letters.AllowN(n.now, 1) {
		n.spend()
		return true
	}
	return false
}

// Metrics are the node's counters, read after a step.
type Metrics struct {
	Term, Commits, CommitConflicts, Sheds, Repairs, Preemptions, Starts uint64
	Machines, Waiting                                                   int
	CommitSeconds, WaitSeconds                                          []float64 // since the last step
}

// TakeMetrics returns the counters and forgets the observations.
func (n *Node) TakeMetrics() Metrics {
	m := n.metrics
	n.metrics.CommitSeconds, n.metrics.WaitSeconds = nil, nil
	if n.lead != nil {
		m.Machines, m.Waiting = len(n.lead.machines), n.lead.waiting
		m.Term = n.claim.term
	}
	return m
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
	if gap >= tuning.Standstill {
		n.wake(gap)
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
		if !n.handOver(e.ID, submission(e.Job)) {
			n.submit(e.ID, e.Job)
		}
	case Query:
		if !n.handOver(e.ID, protocol.PeerRequest{Verb: verbQuery, Job: e.Job}) {
			n.query(e.ID, e.Job)
		}
	case Cancel:
		if !n.handOver(e.ID, protocol.PeerRequest{Verb: verbCancel, Job: e.Job}) {
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
	n.tickMail()
	if n.acting() {
		n.lead.tick()
	}
	n.flushPolls()
	n.tickTakeOver() // at the end: what it leads to is done in the next step
}

// Ready says whether the node can take requests. An outage of the state
// service that all nodes share makes none of them unready: they answer at
// once that the user should come back.
func (n *Node) Ready() bool {
	if !n.mirror.Ready() || len(n.types) == 0 {
		return false
	}
	if n.now.Sub(n.served) < tuning.AloneAfter {
		return true
	}
	alone := len(n.peers) > 0
	for name, p := range n.peers {
		if !n.reach(name) {
			continue
		}
		alone = false
		if p.status.StateOK {
			return false
		}
	}
	return !alone // cut off from everybody: users should go elsewhere
}

// tickState asks the state service for something small when nothing else has
// been asked lately, so that every node knows whether it is served.
func (n *Node) tickState() {
	if n.mirror.Ready() && n.now.Sub(n.asked) >= tuning.StateProbe {
		n.state("GET", protocol.KeyPath(bookkeeping.ClaimKey), nil, func(int, []byte) {})
	}
}

func (n *Node) request(to Target, address, method, path string, body any, timeout time.Duration, done func(status int, body []byte)) {
	n.nextID++
	var raw []byte
	switch b := body.(type) {
	case nil:
	case []byte:
		raw = b
	default:
		raw = bookkeeping.Encode(b)
	}
	n.pending[n.nextID] = done
	n.out = append(n.out, Request{ID: n.nextID, To: to, Address: address, Method: method, Path: path, Body: raw, Timeout: timeout})
}

// state calls the state service and keeps note of whether it serves this node.
func (n *Node) state(method, path string, body any, done func(status int, body []byte)) {
	n.stateOn(ToState, method, path, body, done)
}

// stateOn is the same on a given connection.
func (n *Node) stateOn(to Target, method, path string, body any, done func(status int, body []byte)) {
	n.asked = n.now
	n.calls.AllowN(n.now, 1) // counted in any case; users' requests look first
	n.request(to, "", method, path, body, tuning.StateTimeout, func(status int, body []byte) {
		n.silent = status == 0
		if status != 0 && status != 503 {
			n.served = n.now
		}
		done(status, body)
	})
}

func (n *Node) reply(id uint64, status int, body any) {
	n.noteTold(body)
	n.answer(Reply{ID: id, Status: status, Body: bookkeeping.Encode(body)})
}

// answer gives a reply to whoever asked: a connection of this node, or a
// sibling that carried the request here.
func (n *Node) answer(r Reply) {
	if from, ok := n.carriedIn[r.ID]; ok {
		delete(n.carriedIn, r.ID)
		n.sendTo(from.origin, protocol.PeerAnswer{ID: from.id, Target: from.origin, Status: uint64(r.Status), Body: r.Body})
		return
	}
	n.out = append(n.out, r)
}

// refuse answers at once that the request cannot be taken now.
func (n *Node) refuse(id uint64, why string) {
	n.answer(Reply{ID: id, Status: 503, Body: bookkeeping.Encode(protocol.ErrorBody{Error: why}), RetryAfter: time.Second})
}

// tickMirror keeps the mirror loaded and its watch open.
func (n *Node) tickMirror() {
	if !n.mirror.Ready() {
		if !n.loading && !n.now.Before(n.loadAt) {
			n.loading = true
			n.mirror.BeginLoad()
			n.loadSent = n.now
			n.loadPage("")
		}
		return
	}
	n.watchAgain()
	if n.watching || n.now.Before(n.watchAt) {
		return
	}
	n.watching = true
	n.watchSent = n.now
	path := protocol.WatchPath(bookkeeping.LivePrefix, n.mirror.Revision, tuning.WatchBlock.Milliseconds())
	sent := n.now
	n.request(ToState, "", "GET", path, nil, tuning.WatchBlock+tuning.WatchOverrun, func(status int, body []byte) {
		n.watched(sent, status, body)
	})
}

// sighting is a revision that the state service had when a request sent at that
// time was carried out, or later.
type sighting struct {
	revision uint64
	sent     time.Time
}

// sighted takes the revision that the answer to a request gave: once the mirror
// has come as far, it holds every change made before the request was sent.
func (n *Node) sighted(s sighting) {
	switch {
	case s.revision <= n.mirror.Revision:
		n.knows(s.sent)
	case n.ahead.revision <= n.mirror.Revision:
		n.ahead = s // one at a time, or a steady stream of changes would never be caught up with
	}
}

func (n *Node) knows(at time.Time) {
	if at.After(n.known) {
		n.known = at
	}
}

// lookAhead asks how far the records have come. Renewing the claim proves only
// the claim: the watch may hang, and somebody may have confirmed cancellations.
func (n *Node) lookAhead() {
	sent := n.now
	txn := protocol.Txn{If: []protocol.Condition{{Key: bookkeeping.ClaimKey, Stamp: n.claim.term}}}
	n.state("POST", protocol.PathTxn, txn, func(status int, body []byte) {
		if a, ok := parse[protocol.TxnAnswer](body); ok && (status == 200 || status == 409) && a.Revision != 0 {
			n.sighted(sighting{a.Revision, sent})
		}
	})
}

// watchAgain opens another watch when the one that is open does not show what
// the state service is known to have; its answer is taken all the same.
func (n *Node) watchAgain() {
	if n.ahead.revision > n.mirror.Revision && n.watching &&
		n.now.Sub(n.ahead.sent) >= tuning.WatchStuck && n.now.Sub(n.watchSent) >= tuning.WatchStuck {
		n.log.Info("watch does not keep up", "revision", n.mirror.Revision, "ahead", n.ahead.revision)
		n.watching, n.watchAt = false, n.now
	}
}

func (n *Node) loadPage(after string) {
	n.state("GET", protocol.RangePath(bookkeeping.LivePrefix, after, tuning.RangePage), nil, func(status int, body []byte) {
		var page protocol.Entries
		if status != 200 || json.Unmarshal(body, &page) != nil {
			n.loading, n.loadAt = false, n.now.Add(tuning.RetryPause)
			return
		}
		if next := n.mirror.LoadPage(&page); next != "" {
			n.loadPage(next)
			return
		}
		n.loading = false
		n.knows(n.loadSent)
		n.log.Info("mirror loaded", "keys", n.mirror.Len(), "revision", n.mirror.Revision)
		n.mirrorLoaded()
	})
}

func (n *Node) watched(sent time.Time, status int, body []byte) {
	if sent.Equal(n.watchSent) {
		n.watching = false
	}
	var w protocol.WatchAnswer
	switch {
	case status == 410:
		// Too far behind: read everything again. A leader cannot tell what it
		// missed, so it leads no further on this mirror.
		n.stepDown("watch too old")
		n.mirror = bookkeeping.Mirror{}
		return
	case status != 200 || json.Unmarshal(body, &w) != nil:
		n.watchAt = n.now.Add(tuning.RetryPause)
		return
	}
	for i := range w.Events {
		ev := &w.Events[i]
		if n.mirror.Apply(ev) {
			if ev.Set != "" && !n.ownWrite(ev.Value) {
				n.spend()
			}
			n.changed(ev)
		}
	}
	n.mirror.Revision = max(n.mirror.Revision, w.Revision)
	n.knows(sent)
	if n.ahead.revision <= n.mirror.Revision {
		n.knows(n.ahead.sent)
	}
	pause := tuning.WatchPause // the leader's: jobs wait for it
	if n.lead == nil {
		pause = n.requestPause(pause, tuning.WatchShare)
	}
	n.watchAt = n.now.Add(pause)
	n.tickMirror()
}

// requestPause is the pause before a request that can wait, longer the smaller the
// share of a core is.
func (n *Node) requestPause(least time.Duration, share float64) time.Duration {
	return max(least, min(n.cfg.Cluster.Resources.Pause(tuning.RequestCost, share), tuning.RequestPause))
}

// mirrorLoaded looks at the claim after a full load.
func (n *Node) mirrorLoaded() {
	if e, ok := n.mirror.Get(bookkeeping.TypesKey); ok && len(n.types) == 0 {
		if list, ok := parse[protocol.MachineTypes](e.Value); ok {
			n.takeTypes(&list)
		}
	}
	e, ok := n.mirror.Get(bookkeeping.ClaimKey)
	if !ok {
		n.claimGone()
		return
	}
	n.claimSeen(e.Value, e.Stamp)
}

// changed passes on one change that the mirror took.
func (n *Node) changed(ev *protocol.WatchEvent) {
	key := ev.Set + ev.Delete
	if key == bookkeeping.ClaimKey {
		if ev.Set == "" {
			n.claimGone()
		} else {
			n.claimSeen(ev.Value, ev.Stamp)
		}
		return
	}
	if isMail(key) {
		n.mailed(ev)
		return
	}
	if n.lead != nil {
		n.lead.changed(ev)
	}
}

// tickTypes keeps the price list: every node needs the types to judge
// submissions, the leader the prices too.
func (n *Node) tickTypes() {
	every := tuning.TypesEvery
	if n.lead == nil && len(n.types) > 0 {
		every *= 4
	}
	if !n.typesAt.IsZero() && n.now.Before(n.typesAt) {
		return
	}
	n.typesAt = n.now.Add(tuning.CloudTimeout + time.Second)
	n.request(ToCloud, "", "GET", protocol.PathMachineTypes, nil, tuning.CloudTimeout, func(status int, body []byte) {
		var list protocol.MachineTypes
		if status != 200 || json.Unmarshal(body, &list) != nil || len(list.Types) == 0 {
			n.typesAt = n.now.Add(time.Second)
			return
		}
		n.typesAt = n.now.Add(every)
		n.takeTypes(&list)
		n.keepTypes(&list)
	})
}

func (n *Node) takeTypes(list *protocol.MachineTypes) {
	for i := range list.Types {
		t := &list.Types[i]
		if old := n.types[t.Name]; old != nil {
			*old = *t // machines point to their type
		} else {
			n.types[t.Name] = t
		}
	}
}

// keepTypes records the machine types, so that a node that starts while the
// cloud does not answer can judge submissions all the same.
func (n *Node) keepTypes(list *protocol.MachineTypes) {
	if n.lead == nil {
		return
	}
	e, _ := n.mirror.Get(bookkeeping.TypesKey)
	if known, ok := parse[protocol.MachineTypes](e.Value); ok && slices.EqualFunc(known.Types, list.Types, sameType) {
		return
	}
	value := bookkeeping.Encode(list)
	if float64(len(value)) > n.cfg.Cluster.State.ValueKB*1024 {
		return
	}
	n.state("POST", protocol.PathTxn, protocol.Txn{
		If:   []protocol.Condition{{Key: bookkeeping.ClaimKey, Stamp: n.claim.term}},
		Then: []protocol.Change{{Set: bookkeeping.TypesKey, Value: value}},
	}, func(int, []byte) {})
}

// sameType compares what does not move with the market.
func sameType(a, b protocol.MachineType) bool {
	a.SpotPrice = b.SpotPrice
	return reflect.DeepEqual(a, b)
}

// timer is something to do later.
type timer struct {
	at time.Time
	do func()
}

// after does something once the time has passed.
func (n *Node) after(d time.Duration, do func()) {
	n.timers = append(n.timers, timer{n.now.Add(d), do})
}

func (n *Node) tickTimers() {
	due := n.timers
	n.timers = nil
	for _, t := range due {
		if n.now.Before(t.at) {
			n.timers = append(n.timers, t)
		} else {
			t.do()
		}
	}
}

// unique makes a string that no other write, rental or process uses.
func (n *Node) unique() string {
	n.nextID++
	return n.boot + "-" + strconv.FormatUint(n.nextID, 36)
}
