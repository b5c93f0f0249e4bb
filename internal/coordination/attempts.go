package coordination

import (
	"time"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/recovery"
	"github.com/gappond/gappond/internal/tuning"
)

// dropAttempt takes an attempt that is proven gone out of every account.
func (l *leader) dropAttempt(c *cluster.Attempt) {
	j, m := c.Job, c.Machine
	if !l.cluster.RemoveAttempt(c) {
		return
	}
	l.n.log.Debug("task gone", "job", j.ID, "task", c.Key.Index, "attempt", c.Key.Number, "machine", m.ID, "state", c.ReportedState)
	l.plan = true
	if j.Spec.Gang() && !c.Orphaned && !j.Complete() && !j.Stopping && len(j.Attempts) > 0 {
		l.pinSurvivors(j)
		l.endIncomplete(j)
	}
	l.checkEnded(j)
}

// endIncomplete ends an attempt of a gang of which some task is proven gone.
func (l *leader) endIncomplete(j *cluster.Job) {
	l.recovery.Observe(recovery.Difference{Class: recovery.GangIncomplete, Entry: -1,
		ID: recovery.AttemptID{TaskID: recovery.TaskID{Job: j.ID}, Attempt: j.Epoch}})
	l.endGang(j, 0)
}

// checkEnded looks whether a job's attempt, or the whole job, is over.
func (l *leader) checkEnded(j *cluster.Job) {
	if j.Finished || l.unreadable[j.ID] && !j.Cancelled {
		return
	}
	if j.Stopping && len(j.Attempts) == 0 {
		j.Stopping = false
		l.plan = true
	}
	switch {
	case j.Cancelled:
		for _, c := range j.SortedAttempts() {
			l.Stop(c, 0)
		}
		if len(j.Attempts) == 0 {
			l.touch(j, 0)
		}
	case j.Complete():
		l.touch(j, 0)
	case j.Spec.Gang() && len(j.Attempts) > 0 && !j.Stopping && l.isBroken(j):
		l.endIncomplete(j)
	}
}

// isBroken says whether a gang's attempt can no longer become whole.
func (l *leader) isBroken(j *cluster.Job) bool {
	g := recovery.GangAttempt{Tasks: len(j.Tasks)}
	for _, c := range j.Attempts {
		switch {
		case c.Orphaned: // an older attempt that is being ended
		case c.Key.Number == j.Epoch:
			g.Present++
		default:
			g.Older++
		}
	}
	return g.Incomplete()
}

// endGang ends a gang's attempt: every task is told to stop at once, so that
// an orderly stop reaches all of them within the gang's patience.
func (l *leader) endGang(j *cluster.Job, grace float64) {
	if len(j.Attempts) == 0 {
		return // nothing would ever end the stop
	}
	j.Stopping = true
	l.n.log.Debug("gang stops", "job", j.ID, "attempt", j.Epoch, "grace", grace)
	for _, c := range j.SortedAttempts() {
		l.Stop(c, grace)
	}
}

// pinSurvivors keeps the machines of a broken gang's other tasks for its next
// attempt: the repair then only has to find room for what was lost.
func (l *leader) pinSurvivors(j *cluster.Job) {
	j.Survivors = map[protocol.MachineID]bool{}
	for _, c := range j.SortedAttempts() {
		j.Survivors[c.Machine.ID] = true
		if c.Machine.ReservedFor == nil {
			c.Machine.ReserveFor(j, l.n.now.Add(tuning.HoldFor))
		}
	}
}

// Stop asks an attempt to end. One whose start never left is gone at once,
// unless the transaction that places it is still under way.
func (l *leader) Stop(c *cluster.Attempt, grace float64) {
	if !c.Stopping || grace < c.GraceS {
		c.Stopping, c.GraceS, c.StopSentAt = true, grace, time.Time{}
	}
	if !c.StartSent && !(c.Job.Write.InFlight && !c.Committed) {
		l.dropAttempt(c)
		return
	}
	l.sendSoon(c.Machine)
}

// setDone notes that a task has completed. The tasks of a gang complete
// together: if one is done, every one is.
func (l *leader) setDone(j *cluster.Job, index int) {
	if j.Finished || j.Tasks[index].Done || j.Spec.Service() {
		return // a replica is never done, whatever it says
	}
	mark := func(i int) {
		if !j.Tasks[i].Done {
			j.Tasks[i].Done = true
			j.DoneTasks++
			l.touch(j, j.RecordOf(i))
		}
	}
	if j.Spec.Gang() {
		for i := range j.Tasks {
			mark(i)
		}
	} else {
		mark(index)
	}
	l.plan = true
}
