package coordination

import (
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/scheduler"
	"github.com/gappond/gappond/internal/tuning"
)

// Drain empties a machine that is to go: everything that can save its work
// stops now, what cannot may finish if it can.
func (l *leader) Drain(machine *cluster.Machine) {
	l.plan = true
	if !machine.Cordoned {
		machine.Cordoned = true
		l.RecordMachine(machine) // no leader places anything there any more
	}
	for _, attempt := range cluster.SortedAttemptsOn(machine) {
		if attempt.Stopping || attempt.Job.Spec.Service() || attempt.Job.Spec.CheckpointS == 0 && !machine.Quarantined {
			continue // replicas move one by one
		}
		l.stopInOrder(attempt)
	}
}

// stopInOrder stops an attempt in good order; a gang stops as a whole.
func (l *leader) stopInOrder(attempt *cluster.Attempt) {
	l.endAttempt(attempt, attempt.Job.Spec.SaveS+tuning.StopGraceSeconds)
}

// Preempt stops an attempt for a job that waits: in good order if saving is worth
// that job's wait.
func (l *leader) Preempt(attempt *cluster.Attempt) {
	l.n.metrics.Preemptions++
	if scheduler.CheckpointPays(attempt.Job.Spec) {
		l.stopInOrder(attempt)
	} else {
		l.endAttempt(attempt, 0)
	}
}

func (l *leader) endAttempt(attempt *cluster.Attempt, grace float64) {
	if attempt.Job.Attempts[attempt.Key] != attempt {
		return // went with another task of its gang
	}
	if attempt.Job.Spec.Gang() {
		if !attempt.Job.Stopping {
			l.endGang(attempt.Job, grace)
		}
		return
	}
	l.Stop(attempt, grace)
}
