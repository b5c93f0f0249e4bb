// Package simulation is a whole deployment on a fake clock: several
// controllers' state machines among stand-ins for the state service, the
// cloud, workers and users, written from the protocol, and a network that
// holds or drops what it carries. Every rule of the protocol is checked at
// every step. The same seed gives the same run.
package simulation

import (
	"container/heap"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"regexp"
	"slices"
	"strconv"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

type event struct {
	at  time.Time
	seq int
	do  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// cut is an interruption between hosts. Packets are held and delivered in
// order at its end, or lost.
type cut struct {
	match func(a, b string) bool
	hold  bool
	held  []func()
}

// Shape is a deployment's size: zones, machines, teams and budgets.
type Shape struct {
	Zones     []string
	Machines  int // up at the start, shared among the zones
	Capacity  int // machines that the cloud has, those included
	Type      protocol.MachineType
	Teams     []config.Team
	Workers   config.Workers
	State     config.State
	Cloud     config.Cloud
	Resources config.Resources
	// Lowered are the state service's limits to come, which the settings announce.
	Lowered *config.State
	// Slow controllers take time for what they do, by their share of a core.
	Slow bool
}

// Small is the shape of most tests.
func Small() Shape {
	zones := []string{"east", "west"}
	return Shape{
		Zones: zones, Machines: 4, Capacity: 12,
		Type: protocol.MachineType{Name: "four", CPUs: 32, GPUs: 4, MemoryGB: 256, CacheGB: 60, FetchGBPerS: 1,
			Price: 10, SpotPrice: 3, BootS: 20, Zones: zones},
		Teams:     []config.Team{{Name: "red", GPUs: 4, MaxGPUs: 10}, {Name: "blue", GPUs: 8, MaxGPUs: 16}, {Name: "free"}},
		Workers:   config.Workers{ReportS: 3, LeaseS: 24, GangWaitS: 40, GangPeerS: 4, CancelS: 49},
		State:     config.State{RPS: 80, WriteRPS: 15, ValueKB: 8, TxnOps: 12},
		Cloud:     config.Cloud{RPS: 6, ListLagS: 6},
		Resources: config.Resources{Cores: 0.06, MemoryMB: 98, FDLimit: 800},
	}
}

// World is the deployment.
type World struct {
	shape Shape

	Now   time.Time
	rng   *rand.Rand
	queue eventQueue
	seq   int
	log   *slog.Logger

	zoneOf  map[string]string
	cuts    []*cut
	nodes   []*controller
	state   *stateService
	cloud   *cloudService
	workers map[string]*worker
	users   []*user
	rules   *rules
	steps   int           // of all controllers
	calls   int           // to workers
	calling int           // of them under way
	most    int           // of them under way at once
	calm    time.Time     // when all troubles were over
	copies  time.Duration // for so long copies of reports may be late, 0: there are none
	keep    bool          // copies of reports are kept for the next leader
	kept    [][]byte
	old     map[string]bool // controllers that behave as the first version does
	close   bool            // users look closely: they ask every node after every answer
	atEnd   float64         // this share of the jobs is called off at the moment of their end
}

// New makes a small world of three controllers.
func New(seed uint64, logs io.Writer) *World { return NewShaped(seed, logs, Small()) }

// NewShaped makes a world of three controllers and any size.
func NewShaped(seed uint64, logs io.Writer, shape Shape) *World {
	w := &World{
		shape:   shape,
		Now:     time.Unix(1_800_000_000, 0),
		rng:     rand.New(rand.NewPCG(seed, 7)),
		zoneOf:  map[string]string{},
		workers: map[string]*worker{},
		old:     map[string]bool{},
	}
	if logs != nil {
		w.log = slog.New(slog.NewTextHandler(logs, &slog.HandlerOptions{Level: slog.LevelDebug, ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
			if a.Key == slog.TimeKey {
				return slog.String("t", w.clock())
			}
			return a
		}}))
	} else {
		w.log = slog.New(slog.DiscardHandler)
	}
	w.rules = newRules(w)
	w.state = newStateService(w)
	w.cloud = newCloudService(w)
	for i := range 3 {
		c := &controller{w: w, name: "node-" + strconv.Itoa(i), peers: map[string]bool{}}
		w.zoneOf[c.name] = shape.Zones[i%len(shape.Zones)]
		w.nodes = append(w.nodes, c)
	}
	for _, c := range w.nodes {
		c.boot()
	}
	return w
}

func (w *World) clock() string {
	return fmt.Sprintf("%.3f", w.Now.Sub(time.Unix(1_800_000_000, 0)).Seconds())
}

func (w *World) config(name string) *config.Config {
	c := &config.Config{Name: name, Zone: w.zoneOf[name], Operator: tuning.Defaults()}
	for _, n := range w.nodes {
		if n.name != name {
			c.Siblings = append(c.Siblings, config.Sibling{Name: n.name, Zone: w.zoneOf[n.name]})
		}
	}
	c.Cluster = config.Cluster{Nodes: 3, Zones: w.shape.Zones, Teams: w.shape.Teams, Workers: w.shape.Workers,
		State: w.shape.State, Cloud: w.shape.Cloud, Resources: w.shape.Resources}
	if next := w.shape.Lowered; next != nil && !w.old[name] {
		present := w.shape.State
		c.Cluster.Present = &present
		c.Cluster.State = *next
	}
	return c
}

// after does something once the time has passed.
func (w *World) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{w.Now.Add(d), w.seq, do})
}

// Run lets the world go on for a while.
func (w *World) Run(d time.Duration) {
	end := w.Now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(event)
		w.Now = e.at
		e.do()
	}
	w.Now = end
}

func (w *World) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(w.rng.Int64N(int64(hi-lo)+1))
}

func secs(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// carry takes a packet from one host to another.
func (w *World) carry(from, to string, deliver func()) {
	w.after(w.between(200*time.Microsecond, 4*time.Millisecond), func() { w.arrive(from, to, deliver) })
}

func (w *World) arrive(from, to string, deliver func()) {
	for _, c := range w.cuts {
		if c.match(from, to) {
			if c.hold {
				c.held = append(c.held, func() { w.arrive(from, to, deliver) })
			}
			return
		}
	}
	deliver()
}

// interrupt cuts hosts off from each other for a while.
func (w *World) interrupt(d time.Duration, hold bool, match func(a, b string) bool) {
	c := &cut{hold: hold, match: func(a, b string) bool { return match(a, b) || match(b, a) }}
	w.cuts = append(w.cuts, c)
	w.after(d, func() { w.mend(c) })
}

// deafen lets nothing through to a machine for a while, though what it sends
// arrives.
func (w *World) deafen(id string, d time.Duration, hold bool) {
	c := &cut{hold: hold, match: func(_, b string) bool { return b == id }}
	w.cuts = append(w.cuts, c)
	w.after(d, func() { w.mend(c) })
}

// mend ends a cut; what was held is delivered in order.
func (w *World) mend(c *cut) {
	w.cuts = slices.DeleteFunc(slices.Clone(w.cuts), func(o *cut) bool { return o == c })
	for _, deliver := range c.held {
		deliver()
	}
}

// isolate cuts a controller off from the state service and the other
// controllers, but not from its workers.
func (w *World) isolate(c *controller, d time.Duration, hold bool) {
	w.interrupt(d, hold, func(a, b string) bool {
		return a == c.name && (b == "state" || slices.ContainsFunc(w.nodes, func(o *controller) bool { return o.name == b }))
	})
}

// call makes a request from one host to another. handle gets it whenever it
// arrives, even if the caller has given up; done gets one answer.
func (w *World) call(from, to string, timeout time.Duration, handle func(answer func(status int, body []byte)), done func(status int, body []byte)) {
	answered := false
	finish := func(status int, body []byte) {
		if !answered {
			answered = true
			done(status, body)
		}
	}
	w.carry(from, to, func() {
		handle(func(status int, body []byte) {
			w.carry(to, from, func() { finish(status, body) })
		})
	})
	w.after(timeout, func() { finish(0, nil) })
}

// controller is a process that runs a node.
type controller struct {
	w       *World
	name    string
	node    *coordination.Node
	life    int
	alive   bool
	peers   map[string]bool
	nextID  uint64
	waiting map[uint64]func(status int, body []byte)
	refused bool      // the state service refuses this node alone
	wakeAt  time.Time // when the node is to be stepped by its timer
	timerAt time.Time // when that is looked at, zero while it is not
	backlog backlog   // of a slow node
	working bool
}

func (c *controller) boot() {
	c.life++
	c.alive = true
	c.peers = map[string]bool{}
	c.waiting = map[uint64]func(int, []byte){}
	c.node = coordination.New(c.w.config(c.name), c.w.log.With("node", c.name), c.w.rng.Uint64(), fmt.Sprintf("%s-%d", c.name, c.life))
	life := c.life
	var look func()
	look = func() {
		if c.alive && c.life == life {
			c.links()
			c.w.after(tuning.Tick, look)
		}
	}
	c.w.after(c.w.between(0, tuning.Tick), look)
	c.timerAt = time.Time{}
	c.backlog, c.working = backlog{}, false
	c.wake(c.w.between(0, tuning.Tick))
}

// wake has the node stepped after a while, unless something happens before: a
// timer that is set anew at every step, as the owner's is.
func (c *controller) wake(d time.Duration) {
	c.wakeAt = c.w.Now.Add(d)
	if c.timerAt.IsZero() || c.wakeAt.Before(c.timerAt) {
		c.await()
	}
}

func (c *controller) await() {
	life, at := c.life, c.wakeAt
	c.timerAt = at
	c.w.after(at.Sub(c.w.Now), func() {
		switch {
		case !c.alive || c.life != life || !c.timerAt.Equal(at):
		case c.w.Now.Before(c.wakeAt):
			c.await()
		default:
			c.timerAt = time.Time{}
			c.step()
		}
	})
}

// crash ends the process without a signal; it is back after a while.
func (c *controller) crash(back time.Duration) {
	if !c.alive {
		return
	}
	c.alive = false
	c.w.after(back, c.boot)
}

// links finds out which siblings have a link.
func (c *controller) links() {
	for _, o := range c.w.nodes {
		if o == c {
			continue
		}
		up := o.alive
		for _, k := range c.w.cuts {
			up = up && !k.match(c.name, o.name)
		}
		if up != c.peers[o.name] {
			c.peers[o.name] = up
			if up {
				c.step(coordination.PeerUp{Peer: o.name})
			} else {
				c.step(coordination.PeerDown{Peer: o.name})
			}
		}
	}
}

// ask hands the node a request from outside.
func (c *controller) ask(event func(id uint64) coordination.Event, answer func(status int, body []byte)) {
	if !c.alive {
		return
	}
	c.nextID++
	c.waiting[c.nextID] = answer
	c.step(event(c.nextID))
}

// step has the node take events. A slow node takes them when it has time.
func (c *controller) step(events ...coordination.Event) {
	if c.w.shape.Slow {
		c.backlog.add(events)
		c.work()
		return
	}
	c.carryOut(c.node.Step(c.w.Now, events))
	c.wake(c.node.Due())
}

// carryOut does what the node wants done.
func (c *controller) carryOut(actions []coordination.Action) {
	life := c.life
	c.w.steps++
	for _, a := range actions {
		switch a := a.(type) {
		case coordination.Reply:
			if answer := c.waiting[a.ID]; answer != nil {
				delete(c.waiting, a.ID)
				answer(a.Status, a.Body)
			}
		case coordination.PeerSend:
			if !c.speaks(a) {
				continue
			}
			for _, o := range c.w.nodes {
				if o.name == a.Peer && c.peers[o.name] {
					to := o.life
					m := recode(a.Message)
					c.w.carry(c.name, o.name, func() {
						if o.alive && o.life == to {
							o.step(coordination.PeerReceive{Peer: c.name, Link: uint64(life), Message: m})
						}
					})
				}
			}
		case coordination.Request:
			c.request(a, func(status int, body []byte) {
				if c.alive && c.life == life {
					c.step(coordination.Response{ID: a.ID, Status: status, Body: body})
				}
			})
		}
	}
}

func (c *controller) request(a coordination.Request, done func(status int, body []byte)) {
	to, handle := "state", func(answer func(int, []byte)) {
		if c.w.old[c.name] {
			whole := answer
			answer = func(status int, body []byte) { whole(status, withoutNews(body)) }
		}
		c.w.state.serve(a.Method, a.Path, a.Body, c, answer)
	}
	switch a.To {
	case coordination.ToCloud:
		to, handle = "cloud", func(answer func(int, []byte)) { c.w.cloud.serve(a.Method, a.Path, a.Body, answer) }
	case coordination.ToWorker:
		c.w.calls++
		c.w.calling++
		c.w.most = max(c.w.most, c.w.calling)
		answered := done
		done = func(status int, body []byte) {
			c.w.calling--
			answered(status, body)
		}
		to, handle = a.Address, func(answer func(int, []byte)) {
			if k := c.w.workers[a.Address]; k != nil {
				k.serve(a.Method, a.Path, a.Body, answer)
			}
		}
	}
	c.w.call(c.name, to, a.Timeout, handle, done)
}

// speaks says whether a node sends a message: the first version knows nothing of
// what was added, and cuts a link on which it comes.
func (c *controller) speaks(a coordination.PeerSend) bool {
	_, announces := protocol.Announced(a.Message)
	_, added := a.Message.(protocol.PeerCancelled)
	if added && c.w.old[a.Peer] {
		c.w.rules.broken("compatibility", "%s sends %T to %s", c.name, a.Message, a.Peer)
	}
	return !c.w.old[c.name] || !announces && !added
}

// withoutNews takes out of records what the first version drops when it reads them.
func withoutNews(body []byte) []byte { return newFields.ReplaceAll(body, nil) }

var newFields = regexp.MustCompile(`"parts":\d+,`)

// recode passes a message through the peers' wire format.
func recode(m protocol.PeerMessage) protocol.PeerMessage {
	out, err := protocol.ReadPeer(newReader(protocol.AppendPeer(nil, m)))
	if err != nil {
		panic(err)
	}
	return out
}
