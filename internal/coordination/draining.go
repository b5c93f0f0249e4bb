package coordination

import (
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/scheduler"
	"github.com/gappond/gappond/internal/tuning"
)

// Drain empties a machine that is to go: everything that can save its work
// stops now, what cannot may finish if it can.
func (l *leader) Drain(m *cluster.Machine) {
	l.plan = true
	if !m.Cordoned {
		m.Cordoned = true
		l.RecordMachine(m) // no leader places anything there any more
	}
	for _, c := range cluster.SortedAttemptsOn(m) {
		if c.Stopping || c.Job.Spec.Service() || c.Job.Spec.CheckpointS == 0 && !m.Quarantined {
			continue // replicas move one by one
		}
		l.stopInOrder(c)
	}
}

// stopInOrder stops an attempt in good order; a gang stops as a whole.
func (l *leader) stopInOrder(c *cluster.Attempt) { l.endAttempt(c, c.Job.Spec.SaveS+tuning.StopGrace) }

// Preempt stops an attempt for a job that waits: in good order if saving is worth
// that job's wait.
func (l *leader) Preempt(c *cluster.Attempt) {
	l.n.metrics.Preemptions++
	if scheduler.CheckpointPays(c.Job.Spec) {
		l.stopInOrder(c)
	} else {
		l.endAttempt(c, 0)
	}
}

func (l *leader) endAttempt(c *cluster.Attempt, grace float64) {
	if c.Job.Attempts[c.Key] != c {
		return // went with another task of its gang
	}
	if c.Job.Spec.Gang() {
		if !c.Job.Stopping {
			l.endGang(c.Job, grace)
		}
		return
	}
	l.Stop(c, grace)
}
