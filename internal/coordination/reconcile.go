package coordination

import (
	"maps"
	"slices"
	"time"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/recovery"
	"github.com/gappond/gappond/internal/tuning"
)

// storedState shows the leader's accounts to package recovery: what the records place,
// and what else is known to take room.
type storedState struct {
	l *leader
	// answered: the report at hand is answered, so that a start in an earlier answer is
	// known to have come or not.
	answered bool
}

// Job implements recovery.Records.
func (s *storedState) Job(id protocol.JobID) (recovery.Job, bool) {
	j := s.l.jobs[id]
	if j == nil {
		return recovery.Job{Unreadable: s.l.unreadable[id]}, false
	}
	return recovery.Job{Tasks: len(j.tasks), Gang: j.spec.Gang(), Service: j.spec.Service(), Epoch: j.epoch, Unreadable: s.l.unreadable[id]}, true
}

// Task implements recovery.Records.
func (s *storedState) Task(id recovery.TaskID) recovery.Task {
	t := &s.l.jobs[id.Job].tasks[id.Index]
	task := recovery.Task{LastAttempt: t.lastAttempt, Done: t.done}
	if t.active != nil {
		task.Machine = t.active.m.id
	}
	return task
}

// Attempts implements recovery.Records.
func (s *storedState) Attempts(name protocol.MachineID, list []recovery.Attempt) []recovery.Attempt {
	m := s.l.machines[name]
	if m == nil {
		return list
	}
	for _, c := range sortedAttempts(m) {
		list = append(list, recovery.Attempt{ID: c.attemptID(), Incarnation: c.incarnation, Undelivered: s.undelivered(c), Fenced: c.stray})
	}
	return list
}

// undelivered says whether a start of an attempt may be on its way, or will be ordered
// again. One that a predecessor recorded is never started by this leader.
func (s *storedState) undelivered(c *taskAttempt) bool {
	if !c.sent || c.direct > 0 || c.pinned || c.inReply && !s.answered {
		return true
	}
	return c.state == "" && !c.stop && !c.loaded
}

func (c *taskAttempt) attemptID() recovery.AttemptID {
	return recovery.AttemptID{TaskID: recovery.TaskID{Job: c.j.id, Index: c.key.index}, Attempt: c.key.attempt}
}

// compare squares a report with what is stored.
func (l *leader) compare(r *protocol.Report, answered bool) []recovery.Difference {
	l.stored.answered = answered
	return l.reconciler.Compare(&l.stored, l.n.lease.term, r)
}

// resolve does what each difference between a report and the records asks for.
func (l *leader) resolve(m *machine, r *protocol.Report, differences []recovery.Difference) {
	m.exited = m.exited[:0]
	unnamed, unproven := false, false
	for _, d := range differences {
		l.recovery.Observe(d)
		key := taskKey{d.ID.Job, d.ID.Index, d.ID.Attempt}
		if d.Entry >= 0 && d.Class != recovery.Unreadable && r.Tasks[d.Entry].State == protocol.TaskExited {
			m.exited = append(m.exited, r.Tasks[d.Entry])
		}
		switch d.Class.Resolution() {
		case recovery.Keep:
			if d.Class == recovery.Unreadable {
				unnamed = !l.noteUnreadable(m, &r.Tasks[d.Entry]) || unnamed
				continue
			}
			if c := m.attempts[key]; c != nil && r.Tasks[d.Entry].State != protocol.TaskExited {
				l.shows(c, r.Tasks[d.Entry].State)
			}
		case recovery.Await:
			unproven = unproven || d.Current
		case recovery.Release:
			if c := m.attempts[key]; c != nil {
				l.dropAttempt(c)
			}
		case recovery.Stop:
			l.fence(m, key, &r.Tasks[d.Entry], d)
		case recovery.RecordEnd:
			l.recordEnd(m, key, &r.Tasks[d.Entry])
		}
	}
	maps.DeleteFunc(m.forgetSent, func(key taskKey, _ time.Time) bool { return !m.showsExited(key) })
	l.limitUnreadable(m, unnamed, unproven)
}

// showsExited says whether the last report had an attempt that has exited.
func (m *machine) showsExited(key taskKey) bool {
	name := protocol.TaskName(key.job, key.index)
	return slices.ContainsFunc(m.exited, func(t protocol.TaskReport) bool { return t.Attempt == key.attempt && t.Task == name })
}

// shows notes the state of an attempt that a worker has.
func (l *leader) shows(c *taskAttempt, state protocol.TaskState) {
	if state == "" {
		state = stateUnknown // seen all the same, so that it is not started again
	}
	c.state = state
	c.sent = true
	if state == protocol.TaskRunning && c.running.IsZero() {
		c.running = l.n.now
		l.n.log.Debug("task runs", "job", c.j.id, "task", c.key.index, "attempt", c.key.attempt, "machine", c.m.id)
	}
}

// stateUnknown stands for a state that a worker left empty.
const stateUnknown protocol.TaskState = "unknown"

// fence has an attempt that no record asks for stopped. It takes room until it is gone,
// and must be gone before its task starts anywhere else. What a report shows that may be
// a late copy is counted as there and not yet stopped: the worker may have ended it.
func (l *leader) fence(m *machine, key taskKey, entry *protocol.TaskReport, d recovery.Difference) {
	j := l.jobs[key.job]
	if j == nil || key.index >= len(j.tasks) {
		if d.Current {
			m.strays = append(m.strays, key)
		}
		return
	}
	c := m.attempts[key]
	if c == nil {
		c = l.addAttempt(j, key.index, key.attempt, m, m.incarnation)
		c.committed, c.sent, c.loaded, c.stray = true, true, true, true
	}
	l.shows(c, entry.State)
	l.skipAttempts(j, key)
	if d.Current || j.cancelled {
		if !c.stop {
			l.n.log.Info("stopping what no record asks for", "class", d.Class.String(), "job", j.id, "task", key.index, "attempt", key.attempt, "machine", m.id)
		}
		l.stop(c, 0)
	}
}

// skipAttempts has the next attempt of a task numbered above one that the records never
// had: a start of the same attempt would do nothing where the old one is.
func (l *leader) skipAttempts(j *job, key taskKey) {
	if t := &j.tasks[key.index]; key.attempt > t.lastAttempt && key.attempt < tuning.AttemptsMost {
		t.lastAttempt = key.attempt
	}
}

// recordEnd takes the end of an attempt, and of its task if it is done.
func (l *leader) recordEnd(m *machine, key taskKey, entry *protocol.TaskReport) {
	if j := l.jobs[key.job]; entry.Cause == protocol.CauseDone && j != nil {
		l.setDone(j, key.index)
		clear(m.failed)
	}
	c := m.attempts[key]
	if c == nil {
		return
	}
	if c.pinned || c.direct > 0 {
		m.pins[key] = true
	}
	c.state = protocol.TaskExited
	l.exited(m, c, *entry)
	l.dropAttempt(c)
}

// noteUnreadable takes an entry that makes no sense, which is logged once for each machine
// and name; named is false if it does not even name a task.
func (l *leader) noteUnreadable(m *machine, entry *protocol.TaskReport) (named bool) {
	id, _, named := protocol.SplitTask(entry.Task)
	if named && l.unreadable[id] {
		m.idleSince = l.n.now // a job that is left alone runs on, so the machine is not idle
		return true
	}
	l.logOnce("entry of a report makes no sense", string(m.id)+" "+entry.Task, "machine", m.id, "task", entry.Task, "state", string(entry.State))
	return named
}

// limitUnreadable returns a machine whose reports have had entries that name no task for
// a lease, if they keep it from proving something gone: its deletion does.
func (l *leader) limitUnreadable(m *machine, unnamed, unproven bool) {
	switch {
	case !unnamed:
		m.unreadableSince = time.Time{}
	case m.unreadableSince.IsZero():
		m.unreadableSince = l.n.now
	case unproven && l.n.now.Sub(m.unreadableSince) > seconds(l.n.cfg.Cluster.Workers.LeaseS):
		l.delete(m, "its reports cannot be read")
	}
}

// logOnce logs bad input once for each key.
func (l *leader) logOnce(message, key string, attributes ...any) {
	if l.logged[key] {
		return
	}
	if len(l.logged) >= tuning.LoggedOnce {
		clear(l.logged)
	}
	l.logged[key] = true
	l.n.log.Error(message, attributes...)
}
