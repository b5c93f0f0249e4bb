// Package agents is the leader's dealings with the agents on the machines: it takes their
// heartbeats, reconciles what these show with what is recorded, sends commands under the
// leader's fencing token, and judges which agents still hold their lease.
//
// It works on the cluster model. It places nothing, writes no records and rents nothing;
// what an attempt's end means is package lifecycle's business, how an agent is reached its
// Client's.
package agents

import (
	"log/slog"
	"time"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/lifecycle"
	"github.com/gappond/gappond/internal/coordination/reconcile"
	"github.com/gappond/gappond/internal/coordination/scheduler"
	"github.com/gappond/gappond/internal/protocol"
)

// Environment is what the leader's dealings with agents need of it.
type Environment interface {
	HeartbeatEnvironment
	DeliveryEnvironment
	LivenessEnvironment
}

// Fleet is what they need of the machines' rental.
type Fleet interface {
	// Booting says whether a machine may not have come up yet.
	Booting(machine *cluster.Machine) bool
	// Deleted says whether a machine is gone for certain.
	Deleted(machine protocol.MachineID) bool
	// DeleteMachine has a machine deleted.
	DeleteMachine(machine *cluster.Machine, reason string)
}

// Dependencies are the parts of a leader that its dealings with agents work with.
type Dependencies struct {
	State       *cluster.State
	Lifecycle   *lifecycle.Manager
	Recovery    *reconcile.RecoveryPhase
	Scheduler   *scheduler.Scheduler
	Fleet       Fleet
	Client      Client
	Environment Environment
	Log         *slog.Logger
	Term        protocol.Term // the fencing token
}

// Manager is the whole of a leader's dealings with agents.
type Manager struct {
	Heartbeats *Heartbeats
	Delivery   *Delivery
	Liveness   *Liveness
	Calls      *Calls
}

// New makes the dealings with agents of a leader that has just begun.
func New(d Dependencies) *Manager {
	calls := &Calls{Limiter: NewLimiter(d.State.Config.Cluster.Process), state: d.State, client: d.Client}
	delivery := &Delivery{state: d.State, lifecycle: d.Lifecycle, recovery: d.Recovery, calls: calls, env: d.Environment, log: d.Log, term: d.Term}
	heartbeats := &Heartbeats{
		state: d.State, lifecycle: d.Lifecycle, recovery: d.Recovery, fleet: d.Fleet, delivery: delivery, env: d.Environment, log: d.Log, term: d.Term,
		stored: storedRecords{state: d.State, env: d.Environment},
	}
	delivery.heartbeats = heartbeats
	liveness := &Liveness{
		state: d.State, lifecycle: d.Lifecycle, recovery: d.Recovery, scheduler: d.Scheduler, fleet: d.Fleet,
		calls: calls, delivery: delivery, heartbeats: heartbeats, env: d.Environment, log: d.Log,
	}
	return &Manager{Heartbeats: heartbeats, Delivery: delivery, Liveness: liveness, Calls: calls}
}

// StoredAttempts lists the attempts of every machine that the records name.
func (m *Manager) StoredAttempts() map[protocol.MachineID][]reconcile.Attempt {
	h := m.Heartbeats
	stored := make(map[protocol.MachineID][]reconcile.Attempt, len(h.state.OrderedMachines))
	for _, machine := range h.state.OrderedMachines {
		stored[machine.ID] = h.stored.Attempts(machine.ID, nil)
	}
	return stored
}

// UnansweredLeaseExpiresAt is when the lease of any agent that this leader has not answered
// has surely expired.
func (m *Manager) UnansweredLeaseExpiresAt() time.Time {
	return m.Liveness.LeaseExpiresAt(&cluster.Machine{})
}
