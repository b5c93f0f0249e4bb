package coordination

import (
	"time"

	"github.com/gappond/gappond/internal/coordination/cluster"
)

// restoreEnvironment implements restore.Environment.
type restoreEnvironment struct{ leaderEnvironment }

// LeaseExpiresAt implements restore.Environment.
func (re restoreEnvironment) LeaseExpiresAt(machine *cluster.Machine) time.Time {
	return re.l.agents.Leases.ExpiresAt(machine)
}

// DeleteMachine implements restore.Environment.
func (re restoreEnvironment) DeleteMachine(machine *cluster.Machine, reason string) {
	re.l.autoscaler.DeleteMachine(machine, reason)
}

// MachinesRecorded implements restore.Environment.
func (re restoreEnvironment) MachinesRecorded() bool { return !re.l.committer.Machines.Empty() }
