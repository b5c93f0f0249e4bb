package coordination

import "github.com/gappond/gappond/internal/coordination/cluster"

// lifecycleEnvironment implements lifecycle.Environment.
type lifecycleEnvironment struct{ leaderEnvironment }

// RecordChanged implements lifecycle.Environment.
func (le lifecycleEnvironment) RecordChanged(job *cluster.Job, record int) {
	le.l.committer.MarkDirty(job, record)
}

// CommandsPending implements lifecycle.Environment.
func (le lifecycleEnvironment) CommandsPending(machine *cluster.Machine) {
	le.l.agents.Delivery.Enqueue(machine)
}
