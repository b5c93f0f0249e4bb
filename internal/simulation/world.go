// Package simulation is a whole deployment on a fake clock: several
// controllers' state machines among stand-ins for the key-value store, the
// cloud, workers and users, written from the protocol, and a network that
// holds or drops what it carries. Every rule of the protocol is checked at
// every step. The same seed gives the same run.
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

// Shape is a deployment's size: zones, machines, teams and budgets.
type Shape struct {
	Zones     []protocol.ZoneName
	Machines  int // up at the start, shared among the zones
	Capacity  int // machines that the cloud has, those included
	Type      protocol.MachineType
	Teams     []config.Team
	Agents    config.AgentTimings
	Store     config.StoreLimits
	Cloud     config.CloudLimits
	Resources config.ProcessLimits
	// NextStoreLimits are the key-value store's limits to come, which the settings announce.
	NextStoreLimits *config.StoreLimits
	// Recovery has the controllers follow their recoveries, as operators may ask.
	Recovery bool
	// Slow controllers take time for what they do, by their share of a core.
	Slow bool
}

// SmallShape is the shape of most tests.
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

// World is the deployment: a clock with its queue of events, a network, controllers among
// stand-ins, and the rules that are checked.
type World struct {
	timeline
	network
	userBehaviour
	heartbeatCopies
	activity

	shape    Shape
	loopback *Loopback // where the controllers are elsewhere
	Audit    *Audit

	log *slog.Logger

	nodes         []*controller
	store         *keyValueStore
	cloud         *cloudProvider
	agents        map[protocol.MachineID]*agent
	users         []*user
	rules         *rules
	faultsEndedAt time.Time          // when all faults were over
	release       map[string]release // of every controller
	// recorder, if there is one, is shown every action of every controller as it is carried out.
	recorder func(controller string, action coordination.Action)
}

// heartbeatCopies are copies of workers' reports, as a network may deliver them.
type heartbeatCopies struct {
	maxCopyDelay       time.Duration // for so long copies may be late, 0: there are none
	recordHeartbeats   bool          // copies are kept for the next leader
	recordedHeartbeats [][]byte
}

// activity counts what the controllers do.
type activity struct {
	steps              int // of all controllers
	calls              int // to workers
	maxConcurrentCalls int // of them under way at once at one controller
}

// New makes a small world of three controllers.
func New(seed uint64, logs io.Writer) *World { return NewWithShape(seed, logs, SmallShape()) }

// NewWithShape makes a world of three controllers and any size.
func NewWithShape(seed uint64, logs io.Writer, shape Shape) *World {
	w := newWorld(seed, logs, shape, nil)
	for _, c := range w.nodes {
		c.startProcess()
	}
	return w
}

// newWorld makes a world whose controllers have yet to be started, or are elsewhere.
func newWorld(seed uint64, logs io.Writer, shape Shape, live *Loopback) *World {
	w := &World{
		timeline: newTimeline(seed),
		shape:    shape,
		loopback: live,
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
	w.store = newKeyValueStore(w)
	w.cloud = newCloudProvider(w)
	for i := range 3 {
		c := &controller{w: w, name: "node-" + strconv.Itoa(i), linked: map[string]bool{}}
		w.zoneOf[c.name] = shape.Zones[i%len(shape.Zones)]
		w.nodes = append(w.nodes, c)
	}
	return w
}

// config is the settings of a controller.
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

// secs is a time that the settings give in seconds.
func secs(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
