package coordination

import (
	"time"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
)

// leaderEnvironment is what several of a leader's parts need alike. Their own environments
// embed it.
type leaderEnvironment struct{ l *leader }

// RequestScheduling asks for a scheduling cycle.
func (le leaderEnvironment) RequestScheduling() { le.l.schedulingRequested = true }

// UniqueName returns a name that was never used.
func (le leaderEnvironment) UniqueName() string { return le.l.n.uniqueName() }

// After has something done later, unless the leader has stepped down by then.
func (le leaderEnvironment) After(pause time.Duration, do func()) {
	le.l.n.after(pause, func() {
		if le.l.n.ownLeader == le.l {
			do()
		}
	})
}

// StepDown ends the leadership.
func (le leaderEnvironment) StepDown(reason string) { le.l.n.election.StepDown(reason) }

// RecordMachine has a machine's record written.
func (le leaderEnvironment) RecordMachine(machine *cluster.Machine) {
	le.l.committer.Machines.Record(machine)
}

// Unreadable says whether a job's record could not be read.
func (le leaderEnvironment) Unreadable(job protocol.JobID) bool { return le.l.loader.Quarantined(job) }

// Recovering says whether the recovery after the failover still lasts.
func (le leaderEnvironment) Recovering() bool {
	summary := le.l.recovery.Summary()
	return summary.Active()
}

// MachinesDeleted takes machines out that are gone for certain.
func (le leaderEnvironment) MachinesDeleted(machines ...protocol.MachineID) {
	le.l.removeMachines(machines...)
}
