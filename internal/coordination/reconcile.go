package coordination

import (
	"maps"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/cluster"
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
	j := s.l.cluster.Jobs[id]
	if j == nil {
		return recovery.Job{Unreadable: s.l.unreadable[id]}, false
	}
	return recovery.Job{Tasks: len(j.Tasks), Gang: j.Spec.Gang(), Service: j.Spec.Service(), Epoch: j.Epoch, Unreadable: s.l.unreadable[id]}, true
}

// Task implements recovery.Records.
func (s *storedState) Task(id recovery.TaskID) recovery.Task {
	t := &s.l.cluster.Jobs[id.Job].Tasks[id.Index]
	task := recovery.Task{LastAttempt: t.LastAttempt, Done: t.Done}
	if t.Active != nil {
		task.Machine = t.Active.Machine.ID
	}
	return task
}

// Attempts implements recovery.Records.
func (s *storedState) Attempts(name protocol.MachineID, list []recovery.Attempt) []recovery.Attempt {
	m := s.l.cluster.Machines[name]
	if m == nil {
		return list
	}
	for _, c := range cluster.SortedAttemptsOn(m) {
		list = append(list, recovery.Attempt{ID: attemptID(c), Incarnation: c.Incarnation, Undelivered: s.undelivered(c), Fenced: c.Orphaned})
	}
	return list
}

// undelivered says whether a start of an attempt may be on its way, or will be ordered
// again. One that a predecessor recorded is never started by this leader.
func (s *storedState) undelivered(c *cluster.Attempt) bool {
	if !c.StartSent || c.StartsInFlight > 0 || c.StartUnanswered || c.StartInResponse && !s.answered {
		return true
	}
	return c.ReportedState == "" && !c.Stopping && !c.Recovered
}

// attemptID is how package recovery names an attempt.
func attemptID(c *cluster.Attempt) recovery.AttemptID {
	return recovery.AttemptID{TaskID: recovery.TaskID{Job: c.Job.ID, Index: c.Key.Index}, Attempt: c.Key.Number}
}

// compare squares a report with what is stored.
func (l *leader) compare(r *protocol.Report, answered bool) []recovery.Difference {
	l.stored.answered = answered
	return l.reconciler.Compare(&l.stored, l.n.lease.term, r)
}

// resolve does what each difference between a report and the records asks for.
func (l *leader) resolve(m *cluster.Machine, r *protocol.Report, differences []recovery.Difference) {
	m.Agent.Exited = m.Agent.Exited[:0]
	unnamed, unproven := false, false
	for _, d := range differences {
		l.recovery.Observe(d)
		key := cluster.AttemptID{Job: d.ID.Job, Index: d.ID.Index, Number: d.ID.Attempt}
		if d.Entry >= 0 && d.Class != recovery.Unreadable && r.Tasks[d.Entry].State == protocol.TaskExited {
			m.Agent.Exited = append(m.Agent.Exited, r.Tasks[d.Entry])
		}
		switch d.Class.Resolution() {
		case recovery.Keep:
			if d.Class == recovery.Unreadable {
				unnamed = !l.noteUnreadable(m, &r.Tasks[d.Entry]) || unnamed
				continue
			}
			if c := m.Attempts[key]; c != nil && r.Tasks[d.Entry].State != protocol.TaskExited {
				l.shows(c, r.Tasks[d.Entry].State)
			}
		case recovery.Await:
			unproven = unproven || d.Current
		case recovery.Release:
			if c := m.Attempts[key]; c != nil {
				l.dropAttempt(c)
			}
		case recovery.Stop:
			l.fence(m, key, &r.Tasks[d.Entry], d)
		case recovery.RecordEnd:
			l.recordEnd(m, key, &r.Tasks[d.Entry])
		}
	}
	maps.DeleteFunc(m.Delivery.ForgetSentAt, func(key cluster.AttemptID, _ time.Time) bool { return !m.ShowsExited(key) })
	l.limitUnreadable(m, unnamed, unproven)
}

// shows notes the state of an attempt that a worker has.
func (l *leader) shows(c *cluster.Attempt, state protocol.TaskState) {
	if state == "" {
		state = stateUnknown // seen all the same, so that it is not started again
	}
	c.ReportedState = state
	c.StartSent = true
	if state == protocol.TaskRunning && c.RunningSince.IsZero() {
		c.RunningSince = l.n.now
		l.n.log.Debug("task runs", "job", c.Job.ID, "task", c.Key.Index, "attempt", c.Key.Number, "machine", c.Machine.ID)
	}
}

// stateUnknown stands for a state that a worker left empty.
const stateUnknown protocol.TaskState = "unknown"

// fence has an attempt that no record asks for stopped. It takes room until it is gone,
// and must be gone before its task starts anywhere else. What a report shows that may be
// a late copy is counted as there and not yet stopped: the worker may have ended it.
func (l *leader) fence(m *cluster.Machine, key cluster.AttemptID, entry *protocol.TaskReport, d recovery.Difference) {
	j := l.cluster.Jobs[key.Job]
	if j == nil || key.Index >= len(j.Tasks) {
		if d.Current {
			m.Delivery.Orphans = append(m.Delivery.Orphans, key)
		}
		return
	}
	c := m.Attempts[key]
	if c == nil {
		c = l.cluster.AddAttempt(j, key.Index, key.Number, m, m.Agent.Incarnation)
		c.Committed, c.StartSent, c.Recovered, c.Orphaned = true, true, true, true
	}
	l.shows(c, entry.State)
	l.skipAttempts(j, key)
	if d.Current || j.Cancelled {
		if !c.Stopping {
			l.n.log.Info("stopping what no record asks for", "class", d.Class.String(), "job", j.ID, "task", key.Index, "attempt", key.Number, "machine", m.ID)
		}
		l.Stop(c, 0)
	}
}

// skipAttempts has the next attempt of a task numbered above one that the records never
// had: a start of the same attempt would do nothing where the old one is.
func (l *leader) skipAttempts(j *cluster.Job, key cluster.AttemptID) {
	if t := &j.Tasks[key.Index]; key.Number > t.LastAttempt && key.Number < tuning.AttemptsMost {
		t.LastAttempt = key.Number
	}
}

// recordEnd takes the end of an attempt, and of its task if it is done.
func (l *leader) recordEnd(m *cluster.Machine, key cluster.AttemptID, entry *protocol.TaskReport) {
	if j := l.cluster.Jobs[key.Job]; entry.Cause == protocol.CauseDone && j != nil {
		l.setDone(j, key.Index)
		clear(m.FailedJobs)
	}
	c := m.Attempts[key]
	if c == nil {
		return
	}
	if c.StartUnanswered || c.StartsInFlight > 0 {
		m.Delivery.Pinned[key] = true
	}
	c.ReportedState = protocol.TaskExited
	l.exited(m, c, *entry)
	l.dropAttempt(c)
}

// noteUnreadable takes an entry that makes no sense, which is logged once for each machine
// and name; named is false if it does not even name a task.
func (l *leader) noteUnreadable(m *cluster.Machine, entry *protocol.TaskReport) (named bool) {
	id, _, named := protocol.SplitTask(entry.Task)
	if named && l.unreadable[id] {
		m.IdleSince = l.n.now // a job that is left alone runs on, so the machine is not idle
		return true
	}
	l.logOnce("entry of a report makes no sense", string(m.ID)+" "+entry.Task, "machine", m.ID, "task", entry.Task, "state", string(entry.State))
	return named
}

// limitUnreadable returns a machine whose reports have had entries that name no task for
// a lease, if they keep it from proving something gone: its deletion does.
func (l *leader) limitUnreadable(m *cluster.Machine, unnamed, unproven bool) {
	switch {
	case !unnamed:
		m.Agent.UnreadableSince = time.Time{}
	case m.Agent.UnreadableSince.IsZero():
		m.Agent.UnreadableSince = l.n.now
	case unproven && l.n.now.Sub(m.Agent.UnreadableSince) > config.Seconds(l.n.cfg.Cluster.Workers.LeaseS):
		l.autoscaler.ReturnMachine(m, "its reports cannot be read")
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
