// Package simulation simulates a whole deployment on a fake clock. It runs the state machines of
// several controllers against stand-ins for the key-value store, the cloud, the agents and the
// users, which are written from the protocol. The network between them can hold or drop packets.
// The rules of the protocol are checked at every step. The same seed gives the same run.
package simulation

import (
	"io"
	"log/slog"
	"strconv"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// Shape describes a simulated deployment: its zones, machines, teams, limits and timings.
type Shape struct {
	Zones     []protocol.ZoneName
	Machines  int // running at the start, spread over the zones
	Capacity  int // most machines that the cloud can run at once, including those
	Type      protocol.MachineType
	Teams     []config.Team
	Agents    config.AgentTimings
	Store     config.StoreLimits
	Cloud     config.CloudLimits
	Resources config.ProcessLimits
	// NextStoreLimits are the lower limits of the key-value store that the settings announce.
	// Nil if the limits do not change.
	NextStoreLimits *config.StoreLimits
	// Recovery sets the operator's property recovery.phase.
	Recovery bool
	// Slow makes the controllers' work take time, according to their share of a core.
	Slow bool
}

// SmallShape returns the shape that most tests use.
func SmallShape() Shape {
	zones := []protocol.ZoneName{"east", "west"}
	return Shape{
		Zones: zones, Machines: 4, Capacity: 12,
		Type: protocol.MachineType{Name: "four", CPUs: 32, GPUs: 4, MemoryGB: 256, CacheGB: 60, FetchGBPerS: 1,
			Price: 10, SpotPrice: 3, BootS: 20, Zones: zones},
		Teams:     []config.Team{{Name: "red", GPUs: 4, MaxGPUs: 10}, {Name: "blue", GPUs: 8, MaxGPUs: 16}, {Name: "free"}},
		Agents:    config.AgentTimings{ReportS: 3, LeaseS: 24, GangWaitS: 40, GangPeerS: 4, CancelS: 49},
		Store:     config.StoreLimits{RPS: 80, WriteRPS: 15, ValueKB: 8, TxnOps: 12},
		Cloud:     config.CloudLimits{RPS: 6, ListLagS: 6},
		Resources: config.ProcessLimits{Cores: 0.06, MemoryMB: 98, FDLimit: 800},
	}
}

// World is a simulated deployment: a clock with its queue of events, a network, the controllers,
// the stand-ins around them, and the checks of the protocol's rules.
type World struct {
	timeline
	network
	userBehaviour
	heartbeatCopies
	commandCopies
	activity

	shape    Shape
	loopback *Loopback // nil unless the controllers run outside the world
	Audit    *Audit

	log *slog.Logger

	nodes         []*controller // each runs one node
	store         *keyValueStore
	cloud         *cloudProvider
	agents        map[protocol.MachineID]*agent
	users         []*user
	rules         *rules
	answers       *answerHistory
	faultsEndedAt time.Time          // zero until all faults have ended
	release       map[string]release // by controller
	// recorder, unless nil, is called with every action of every controller before it is performed.
	recorder func(controller string, action coordination.Action)
}

// heartbeatCopies controls duplicates of agents' heartbeats, as a network may deliver them.
type heartbeatCopies struct {
	maxCopyDelay       time.Duration // the longest delay of a copy; 0: no copies are sent
	recordHeartbeats   bool          // every heartbeat sent is recorded, to be replayed later
	recordedHeartbeats [][]byte
}

// commandCopies controls duplicates of calls that agents have executed and responded to, as a network
// may deliver them.
type commandCopies struct {
	commandCopyShare    float64       // share of the calls that arrive a second time
	maxCommandCopyDelay time.Duration // the longest delay of a copy
	recordCommands      bool          // every call that agents execute is recorded, to be replayed later
	recordedCommands    []executedCall
}

// executedCall is a call that an agent has executed and responded to.
type executedCall struct {
	machine protocol.MachineID
	body    []byte
}

// activity counts the work of the controllers.
type activity struct {
	steps              int // of all controllers
	calls              int // to agents
	maxConcurrentCalls int // most calls in flight at once at one controller
	heartbeats         int // of all agents
	largestHeartbeat   int // in bytes
	// longestExitedTime is the longest time from an attempt's exit until its agent forgot it.
	longestExitedTime time.Duration
}

// New returns a world of three controllers with the small shape.
func New(seed uint64, logs io.Writer) *World { return NewWithShape(seed, logs, SmallShape()) }

// NewWithShape returns a world of three controllers with the given shape.
func NewWithShape(seed uint64, logs io.Writer, shape Shape) *World {
	w := newWorld(seed, logs, shape, nil)
	for _, c := range w.nodes {
		c.startProcess()
	}
	return w
}

// newWorld returns a world whose controllers are not started. They run outside the world unless
// loopback is nil.
func newWorld(seed uint64, logs io.Writer, shape Shape, loopback *Loopback) *World {
	w := &World{
		timeline: newTimeline(seed),
		shape:    shape,
		loopback: loopback,
		Audit:    newAudit(),
		agents:   map[protocol.MachineID]*agent{},
		release:  map[string]release{},
	}
	w.network = network{time: &w.timeline, zoneOf: map[string]protocol.ZoneName{}}
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
	w.answers = newAnswerHistory(w)
	w.store = newKeyValueStore(w)
	w.cloud = newCloudProvider(w)
	for i := range 3 {
		c := &controller{w: w, name: "node-" + strconv.Itoa(i), linked: map[string]bool{}}
		w.zoneOf[c.name] = shape.Zones[i%len(shape.Zones)]
		w.nodes = append(w.nodes, c)
	}
	return w
}

// config returns the settings of a controller.
func (w *World) config(name string) *config.Config {
	c := &config.Config{Name: protocol.NodeName(name), Zone: w.zoneOf[name], Operator: tuning.Defaults()}
	c.Operator.RecoveryPhase = w.shape.Recovery
	for _, n := range w.nodes {
		if n.name != name {
			c.Peers = append(c.Peers, config.Peer{Name: protocol.NodeName(n.name), Zone: w.zoneOf[n.name]})
		}
	}
	c.Cluster = config.Cluster{Nodes: 3, Zones: w.shape.Zones, Teams: w.shape.Teams, Agents: w.shape.Agents,
		Store: w.shape.Store, Cloud: w.shape.Cloud, Process: w.shape.Resources}
	if next := w.shape.NextStoreLimits; next != nil && w.release[name] != release02 {
		present := w.shape.Store
		c.Cluster.Present = &present
		c.Cluster.Store = *next
	}
	return c
}

func (w *World) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(w.rng.Int64N(int64(hi-lo)+1))
}

// secs converts seconds, the unit of the settings, to a duration.
func secs(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
