package coordination

import (
	"time"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/reconcile"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// dropAttempt takes an attempt that is proven gone out of every account.
func (l *leader) dropAttempt(attempt *cluster.Attempt) {
	job, machine := attempt.Job, attempt.Machine
	if !l.cluster.RemoveAttempt(attempt) {
		return
	}
	l.n.log.Debug("task gone", "job", job.ID, "task", attempt.Key.Index, "attempt", attempt.Key.Number, "machine", machine.ID, "state", attempt.ReportedState)
	l.plan = true
	if job.Spec.Gang() && !attempt.Orphaned && !job.Complete() && !job.Stopping && len(job.Attempts) > 0 {
		l.pinSurvivors(job)
		l.endIncomplete(job)
	}
	l.checkEnded(job)
}

// endIncomplete ends an attempt of a gang of which some task is proven gone.
func (l *leader) endIncomplete(job *cluster.Job) {
	l.recovery.Observe(reconcile.Difference{Class: reconcile.GangIncomplete, Entry: -1,
		ID: reconcile.AttemptID{TaskID: reconcile.TaskID{Job: job.ID}, Attempt: job.Epoch}})
	l.endGang(job, 0)
}

// checkEnded looks whether a job's attempt, or the whole job, is over.
func (l *leader) checkEnded(job *cluster.Job) {
	if job.Finished || l.unreadable[job.ID] && !job.Cancelled {
		return
	}
	if job.Stopping && len(job.Attempts) == 0 {
		job.Stopping = false
		l.plan = true
	}
	switch {
	case job.Cancelled:
		for _, attempt := range job.SortedAttempts() {
			l.Stop(attempt, 0)
		}
		if len(job.Attempts) == 0 {
			l.committer.MarkDirty(job, 0)
		}
	case job.Complete():
		l.committer.MarkDirty(job, 0)
	case job.Spec.Gang() && len(job.Attempts) > 0 && !job.Stopping && l.isBroken(job):
		l.endIncomplete(job)
	}
}

// isBroken says whether a gang's attempt can no longer become whole.
func (l *leader) isBroken(job *cluster.Job) bool {
	g := reconcile.GangAttempt{Tasks: len(job.Tasks)}
	for _, attempt := range job.Attempts {
		switch {
		case attempt.Orphaned: // an older attempt that is being ended
		case attempt.Key.Number == job.Epoch:
			g.Present++
		default:
			g.Older++
		}
	}
	return g.Incomplete()
}

// endGang ends a gang's attempt: every task is told to stop at once, so that
// an orderly stop reaches all of them within the gang's patience.
func (l *leader) endGang(job *cluster.Job, grace float64) {
	if len(job.Attempts) == 0 {
		return // nothing would ever end the stop
	}
	job.Stopping = true
	l.n.log.Debug("gang stops", "job", job.ID, "attempt", job.Epoch, "grace", grace)
	for _, attempt := range job.SortedAttempts() {
		l.Stop(attempt, grace)
	}
}

// pinSurvivors keeps the machines of a broken gang's other tasks for its next
// attempt: the repair then only has to find room for what was lost.
func (l *leader) pinSurvivors(job *cluster.Job) {
	job.Survivors = map[protocol.MachineID]bool{}
	for _, attempt := range job.SortedAttempts() {
		job.Survivors[attempt.Machine.ID] = true
		if attempt.Machine.ReservedFor == nil {
			attempt.Machine.ReserveFor(job, l.n.now.Add(tuning.HoldFor))
		}
	}
}

// Stop asks an attempt to end. One whose start never left is gone at once,
// unless the transaction that places it is still under way.
func (l *leader) Stop(attempt *cluster.Attempt, grace float64) {
	if !attempt.Stopping || grace < attempt.GraceS {
		attempt.Stopping, attempt.GraceS, attempt.StopSentAt = true, grace, time.Time{}
	}
	if !attempt.StartSent && !(attempt.Job.Write.InFlight && !attempt.Committed) {
		l.dropAttempt(attempt)
		return
	}
	l.sendSoon(attempt.Machine)
}

// setDone notes that a task has completed. The tasks of a gang complete
// together: if one is done, every one is.
func (l *leader) setDone(job *cluster.Job, index int) {
	if job.Finished || job.Tasks[index].Done || job.Spec.Service() {
		return // a replica is never done, whatever it says
	}
	mark := func(i int) {
		if !job.Tasks[i].Done {
			job.Tasks[i].Done = true
			job.DoneTasks++
			l.committer.MarkDirty(job, job.RecordOf(i))
		}
	}
	if job.Spec.Gang() {
		for i := range job.Tasks {
			mark(i)
		}
	} else {
		mark(index)
	}
	l.plan = true
}
