// Package agents handles the leader's communication with the agents on the machines. It
// processes their heartbeats, reconciles the reported tasks with the stored records, sends
// commands that carry the leader's fencing token, and decides whether an agent still holds
// its lease.
//
// It works on the cluster model. It does not place tasks, write records or create machines.
// Package lifecycle handles the end of an attempt, and a Client transports the calls to agents.
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

// Environment is what the package needs of the leader.
type Environment interface {
	HeartbeatEnvironment
	DeliveryEnvironment
	LivenessEnvironment
	LeaseEnvironment
}

// Fleet is what the package needs of the component that creates and deletes machines.
type Fleet interface {
	// Booting reports whether a machine's first heartbeat has not arrived yet but is still
	// expected.
	Booting(machine *cluster.Machine) bool
	// Deleted reports whether a machine is known to be deleted.
	Deleted(machine protocol.MachineID) bool
	// DeleteMachine requests the deletion of a machine.
	DeleteMachine(machine *cluster.Machine, reason string)
}

// Dependencies are the components of a leader that the package uses.
type Dependencies struct {
	State       *cluster.State
	Lifecycle   *lifecycle.Manager
	Recovery    *reconcile.RecoveryPhase
	Scheduler   *scheduler.Scheduler
	Fleet       Fleet
	Client      Client
	Environment Environment
	Log         *slog.Logger
	Counters    *Counters
	Term        protocol.Term // the leader's term, which is its first fencing token
}

// Manager groups the components that communicate with agents for one leader.
type Manager struct {
	Heartbeats *Heartbeats
	Delivery   *Delivery
	Liveness   *Liveness
	Calls      *Calls
	Leases     *Leases
}

// New returns the Manager of a controller that has just become leader.
func New(d Dependencies) *Manager {
	leases := &Leases{state: d.State, env: d.Environment}
	calls := &Calls{Limiter: NewLimiter(d.State.Config.Cluster.Process), state: d.State, client: d.Client}
	delivery := &Delivery{
		state: d.State, lifecycle: d.Lifecycle, recovery: d.Recovery, calls: calls, leases: leases, env: d.Environment, log: d.Log,
		counters: d.Counters, term: d.Term, newest: d.Term,
	}
	heartbeats := &Heartbeats{
		state: d.State, lifecycle: d.Lifecycle, recovery: d.Recovery, fleet: d.Fleet, delivery: delivery, env: d.Environment, log: d.Log, term: d.Term,
		stored: storedRecords{state: d.State, env: d.Environment}, forgotten: newForgottenAttempts(), counters: d.Counters,
	}
	delivery.heartbeats = heartbeats
	liveness := &Liveness{
		state: d.State, lifecycle: d.Lifecycle, recovery: d.Recovery, scheduler: d.Scheduler, fleet: d.Fleet,
		calls: calls, delivery: delivery, heartbeats: heartbeats, leases: leases, env: d.Environment, log: d.Log,
	}
	return &Manager{Heartbeats: heartbeats, Delivery: delivery, Liveness: liveness, Calls: calls, Leases: leases}
}

// StoredAttempts returns the recorded attempts of every machine that the records name.
func (m *Manager) StoredAttempts() map[protocol.MachineID][]reconcile.Attempt {
	h := m.Heartbeats
	stored := make(map[protocol.MachineID][]reconcile.Attempt, len(h.state.OrderedMachines))
	for _, machine := range h.state.OrderedMachines {
		stored[machine.ID] = h.stored.Attempts(machine.ID, nil)
	}
	return stored
}

// UnansweredLeaseExpiresAt returns the time at which the lease of any agent that this leader
// has not responded to has certainly expired.
func (m *Manager) UnansweredLeaseExpiresAt() time.Time {
	return m.Leases.ExpiresAt(&cluster.Machine{})
}
