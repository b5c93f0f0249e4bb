package coordination

import (
	"time"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
)

// LeaseExpiresAt implements restore.Environment.
func (l *leader) LeaseExpiresAt(machine *cluster.Machine) time.Time {
	return l.agents.Liveness.LeaseExpiresAt(machine)
}

// DeleteMachine implements restore.Environment.
func (l *leader) DeleteMachine(machine *cluster.Machine, reason string) {
	l.autoscaler.DeleteMachine(machine, reason)
}

// MachinesRecorded implements restore.Environment.
func (l *leader) MachinesRecorded() bool { return !l.committer.Machines.Empty() }

// HigherTokenSeen implements agents.HeartbeatEnvironment.
func (l *leader) HigherTokenSeen(heartbeat *protocol.Heartbeat) {
	l.restored.ObserveHigherToken(heartbeat)
}

// TokenConfirmed implements agents.HeartbeatEnvironment.
func (l *leader) TokenConfirmed(machine *cluster.Machine) {
	l.restored.ObserveConfirmedToken(machine)
}

// StartsWithheld implements scheduler.Environment.
func (l *leader) StartsWithheld(job *cluster.Job) bool { return l.restored.Holds(job) }
