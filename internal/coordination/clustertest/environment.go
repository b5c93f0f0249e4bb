package clustertest

import (
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
)

// Environment is a fake of the leader that a scheduler calls. It returns what the test has set,
// and stops attempts in the cluster model as a leader would. It implements
// scheduler.Environment.
type Environment struct {
	cluster *Cluster

	InRecovery    bool                  // result of Recovering
	Withheld      map[*cluster.Job]bool // jobs that must not start tasks
	AwaitingSplit map[*cluster.Job]bool // gangs that wait until a record is split
	NoMachines    bool                  // the cloud has refused all machines

	Placed    []*cluster.Attempt // attempts that were placed, in order
	Preempted []*cluster.Attempt // attempts that were preempted, in order
	Stopped   []*cluster.Attempt // attempts that were stopped for other reasons, in order
}

// NewEnvironment returns an environment for a scheduler of cluster c.
func NewEnvironment(c *Cluster) *Environment { return &Environment{cluster: c} }

// Recovering implements scheduler.Environment.
func (e *Environment) Recovering() bool { return e.InRecovery }

// StartsWithheld implements scheduler.Environment.
func (e *Environment) StartsWithheld(job *cluster.Job) bool { return e.Withheld[job] }

// AwaitsRecordSplit implements scheduler.Environment.
func (e *Environment) AwaitsRecordSplit(job *cluster.Job) bool { return e.AwaitingSplit[job] }

// MachinesObtainable implements scheduler.Environment.
func (e *Environment) MachinesObtainable(*cluster.Job, protocol.ZoneName) bool { return !e.NoMachines }

// TaskPlaced implements scheduler.Environment.
func (e *Environment) TaskPlaced(attempt *cluster.Attempt) { e.Placed = append(e.Placed, attempt) }

// Preempt implements scheduler.Environment. A gang stops as a whole.
func (e *Environment) Preempt(victim *cluster.Attempt) {
	e.Preempted = append(e.Preempted, victim)
	if !victim.Job.Spec.Gang() {
		e.stopAttempt(victim)
		return
	}
	for _, attempt := range victim.Job.SortedAttempts() {
		e.stopAttempt(attempt)
	}
	victim.Job.BeginStop()
}

// Stop implements scheduler.Environment.
func (e *Environment) Stop(attempt *cluster.Attempt, _ float64) {
	e.Stopped = append(e.Stopped, attempt)
	e.stopAttempt(attempt)
}

// stopAttempt marks an attempt as stopping. An attempt whose start was never sent is removed
// at once.
func (e *Environment) stopAttempt(attempt *cluster.Attempt) {
	if !attempt.StartSent {
		e.cluster.RemoveAttempt(attempt)
		return
	}
	attempt.RequestStop(0)
}
