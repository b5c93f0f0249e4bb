package coordination

import (
	"time"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
)

// leaderEnvironment has the methods that several of the leader's parts need. The environments of
// these parts embed it.
type leaderEnvironment struct{ l *leader }

// RequestScheduling requests a scheduling cycle.
func (le leaderEnvironment) RequestScheduling() { le.l.schedulingRequested = true }

// UniqueName returns a name that was never used before.
func (le leaderEnvironment) UniqueName() string { return le.l.n.uniqueName() }

// After calls do after the pause, unless the leader has stepped down by then.
func (le leaderEnvironment) After(pause time.Duration, do func()) {
	le.l.n.after(pause, func() {
		if le.l.n.ownLeader == le.l {
			do()
		}
	})
}

// StepDown ends the leadership.
func (le leaderEnvironment) StepDown(reason string) { le.l.n.election.StepDown(reason) }

// RecordMachine schedules a write of the machine record that holds the machine.
func (le leaderEnvironment) RecordMachine(machine *cluster.Machine) {
	le.l.committer.Machines.Record(machine)
}

// Unreadable reports whether one of a job's records cannot be read.
func (le leaderEnvironment) Unreadable(job protocol.JobID) bool { return le.l.loader.Quarantined(job) }

// Recovering reports whether the recovery after the failover is still in progress.
func (le leaderEnvironment) Recovering() bool {
	summary := le.l.recovery.Summary()
	return summary.Active()
}

// MachinesDeleted removes machines that are known to be deleted.
func (le leaderEnvironment) MachinesDeleted(machines ...protocol.MachineID) {
	le.l.removeMachines(machines...)
}
