package coordination

import (
	"time"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/recovery"
	"github.com/gappond/gappond/internal/tuning"
)

// addAttempt enters an attempt into every account.
func (l *leader) addAttempt(j *job, index int, attempt protocol.AttemptNumber, m *machine, incarnation protocol.Incarnation) *taskAttempt {
	c := &taskAttempt{j: j, key: attemptKey{index, attempt, m.id}, m: m, incarnation: incarnation, since: l.n.now}
	c.slots = m.slots.Carve(taskSlots(j.spec))
	j.attempts[c.key] = c
	j.tasks[index].liveAttempts++
	m.attempts[taskKey{j.id, index, attempt}] = c
	m.take(j.spec, 1)
	if t := l.teams[j.spec.Team]; t != nil {
		t.cpus += j.spec.CPUs
		t.gpus += j.spec.GPUs
	}
	return c
}

// dropAttempt takes an attempt that is proven gone out of every account.
func (l *leader) dropAttempt(c *taskAttempt) {
	j, m := c.j, c.m
	if j.attempts[c.key] != c {
		return
	}
	l.n.log.Debug("task gone", "job", j.id, "task", c.key.index, "attempt", c.key.attempt, "machine", m.id, "state", c.state)
	delete(j.attempts, c.key)
	delete(m.attempts, taskKey{j.id, c.key.index, c.key.attempt})
	m.slots.Release(c.slots)
	m.take(j.spec, -1)
	if len(m.attempts) == 0 {
		m.idleSince = l.n.now
	}
	if t := l.teams[j.spec.Team]; t != nil {
		t.cpus -= j.spec.CPUs
		t.gpus -= j.spec.GPUs
	}
	t := &j.tasks[c.key.index]
	t.liveAttempts--
	if t.active == c {
		t.active = nil
		j.waitingSince = l.n.now
	}
	l.plan = true
	if j.spec.Gang() && !c.stray && !j.isComplete() && !j.stopping && len(j.attempts) > 0 {
		l.pinSurvivors(j)
		l.endIncomplete(j)
	}
	l.checkEnded(j)
}

// endIncomplete ends an attempt of a gang of which some task is proven gone.
func (l *leader) endIncomplete(j *job) {
	l.recovery.Observe(recovery.Difference{Class: recovery.GangIncomplete, Entry: -1,
		ID: recovery.AttemptID{TaskID: recovery.TaskID{Job: j.id}, Attempt: j.epoch}})
	l.endGang(j, 0)
}

// checkEnded looks whether a job's attempt, or the whole job, is over.
func (l *leader) checkEnded(j *job) {
	if j.gone || l.unreadable[j.id] && !j.cancelled {
		return
	}
	if j.stopping && len(j.attempts) == 0 {
		j.stopping = false
		l.plan = true
	}
	switch {
	case j.cancelled:
		for _, c := range j.sortedAttempts() {
			l.stop(c, 0)
		}
		if len(j.attempts) == 0 {
			l.touch(j, 0)
		}
	case j.isComplete():
		l.touch(j, 0)
	case j.spec.Gang() && len(j.attempts) > 0 && !j.stopping && l.isBroken(j):
		l.endIncomplete(j)
	}
}

// isBroken says whether a gang's attempt can no longer become whole.
func (l *leader) isBroken(j *job) bool {
	g := recovery.GangAttempt{Tasks: len(j.tasks)}
	for _, c := range j.attempts {
		switch {
		case c.stray: // an older attempt that is being ended
		case c.key.attempt == j.epoch:
			g.Present++
		default:
			g.Older++
		}
	}
	return g.Incomplete()
}

// endGang ends a gang's attempt: every task is told to stop at once, so that
// an orderly stop reaches all of them within the gang's patience.
func (l *leader) endGang(j *job, grace float64) {
	if len(j.attempts) == 0 {
		return // nothing would ever end the stop
	}
	j.stopping = true
	l.n.log.Debug("gang stops", "job", j.id, "attempt", j.epoch, "grace", grace)
	for _, c := range j.sortedAttempts() {
		l.stop(c, grace)
	}
}

// pinSurvivors keeps the machines of a broken gang's other tasks for its next
// attempt: the repair then only has to find room for what was lost.
func (l *leader) pinSurvivors(j *job) {
	j.survivors = map[protocol.MachineID]bool{}
	for _, c := range j.sortedAttempts() {
		j.survivors[c.m.id] = true
		if c.m.hold == nil {
			c.m.keep(j, l.n.now.Add(tuning.HoldFor))
		}
	}
}

// stop asks an attempt to end. One whose start never left is gone at once,
// unless the transaction that places it is still under way.
func (l *leader) stop(c *taskAttempt, grace float64) {
	if !c.stop || grace < c.grace {
		c.stop, c.grace, c.stopSent = true, grace, time.Time{}
	}
	if !c.sent && !(c.j.writing && !c.committed) {
		l.dropAttempt(c)
		return
	}
	l.sendSoon(c.m)
}

// setDone notes that a task has completed. The tasks of a gang complete
// together: if one is done, every one is.
func (l *leader) setDone(j *job, index int) {
	if j.gone || j.tasks[index].done || j.spec.Service() {
		return // a replica is never done, whatever it says
	}
	mark := func(i int) {
		if !j.tasks[i].done {
			j.tasks[i].done = true
			j.done++
			l.touch(j, j.recordOf(i))
		}
	}
	if j.spec.Gang() {
		for i := range j.tasks {
			mark(i)
		}
	} else {
		mark(index)
	}
	l.plan = true
}
