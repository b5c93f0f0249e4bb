package clustertest

import "github.com/gappond/gappond/internal/coordination/cluster"

// Environment stands for the leader around a scheduler: it says what the test sets and
// does to attempts what a leader would do at once. It implements scheduler.Environment.
type Environment struct {
	cluster *Cluster

	InRecovery    bool                  // what Recovering answers
	Withheld      map[*cluster.Job]bool // jobs that must not start anything
	AwaitingSplit map[*cluster.Job]bool // gangs with a record to be split first

	Placed    []*cluster.Attempt // places that were decided on, in order
	Preempted []*cluster.Attempt // attempts that were preempted, in order
	Stopped   []*cluster.Attempt // attempts that were asked to end otherwise
}

// NewEnvironment makes the surroundings of a scheduler of a cluster.
func NewEnvironment(c *Cluster) *Environment { return &Environment{cluster: c} }

// Recovering implements scheduler.Environment.
func (e *Environment) Recovering() bool { return e.InRecovery }

// StartsWithheld implements scheduler.Environment.
func (e *Environment) StartsWithheld(job *cluster.Job) bool { return e.Withheld[job] }

// AwaitsRecordSplit implements scheduler.Environment.
func (e *Environment) AwaitsRecordSplit(job *cluster.Job) bool { return e.AwaitingSplit[job] }

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

// stopAttempt marks an attempt as stopping; one whose start never left is gone at once.
func (e *Environment) stopAttempt(attempt *cluster.Attempt) {
	if !attempt.StartSent {
		e.cluster.RemoveAttempt(attempt)
		return
	}
	attempt.RequestStop(0)
}
