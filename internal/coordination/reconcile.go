package coordination

import (
	"maps"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/reconcile"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// storedState shows the leader's accounts to package reconcile: what the records place,
// and what else is known to take room.
type storedState struct {
	l *leader
	// answered: the report at hand is answered, so that a start in an earlier answer is
	// known to have come or not.
	answered bool
}

// Job implements reconcile.Records.
func (s *storedState) Job(id protocol.JobID) (reconcile.Job, bool) {
	job := s.l.cluster.Jobs[id]
	if job == nil {
		return reconcile.Job{Unreadable: s.l.unreadable[id]}, false
	}
	return reconcile.Job{Tasks: len(job.Tasks), Gang: job.Spec.Gang(), Service: job.Spec.Service(), Epoch: job.Epoch, Unreadable: s.l.unreadable[id]}, true
}

// Task implements reconcile.Records.
func (s *storedState) Task(id reconcile.TaskID) reconcile.Task {
	t := &s.l.cluster.Jobs[id.Job].Tasks[id.Index]
	task := reconcile.Task{LastAttempt: t.LastAttempt, Done: t.Done}
	if t.Active != nil {
		task.Machine = t.Active.Machine.ID
	}
	return task
}

// Attempts implements reconcile.Records.
func (s *storedState) Attempts(name protocol.MachineID, list []reconcile.Attempt) []reconcile.Attempt {
	machine := s.l.cluster.Machines[name]
	if machine == nil {
		return list
	}
	for _, attempt := range cluster.SortedAttemptsOn(machine) {
		list = append(list, reconcile.Attempt{ID: attemptID(attempt), Incarnation: attempt.Incarnation, Undelivered: s.undelivered(attempt), Fenced: attempt.Orphaned})
	}
	return list
}

// undelivered says whether a start of an attempt may be on its way, or will be ordered
// again. One that a predecessor recorded is never started by this leader.
func (s *storedState) undelivered(attempt *cluster.Attempt) bool {
	if !attempt.StartSent || attempt.StartsInFlight > 0 || attempt.StartUnanswered || attempt.StartInResponse && !s.answered {
		return true
	}
	return attempt.ReportedState == "" && !attempt.Stopping && !attempt.Recovered
}

// attemptID is how package reconcile names an attempt.
func attemptID(attempt *cluster.Attempt) reconcile.AttemptID {
	return reconcile.AttemptID{TaskID: reconcile.TaskID{Job: attempt.Job.ID, Index: attempt.Key.Index}, Attempt: attempt.Key.Number}
}

// compare squares a report with what is stored.
func (l *leader) compare(r *protocol.Heartbeat, answered bool) []reconcile.Difference {
	l.stored.answered = answered
	return l.reconciler.Compare(&l.stored, l.n.lease.term, r)
}

// resolve does what each difference between a report and the records asks for.
func (l *leader) resolve(machine *cluster.Machine, r *protocol.Heartbeat, differences []reconcile.Difference) {
	machine.Agent.Exited = machine.Agent.Exited[:0]
	unnamed, unproven := false, false
	for _, d := range differences {
		l.recovery.Observe(d)
		key := cluster.AttemptID{Job: d.ID.Job, Index: d.ID.Index, Number: d.ID.Attempt}
		if d.Entry >= 0 && d.Class != reconcile.Unreadable && r.Tasks[d.Entry].State == protocol.TaskExited {
			machine.Agent.Exited = append(machine.Agent.Exited, r.Tasks[d.Entry])
		}
		switch d.Class.Resolution() {
		case reconcile.Keep:
			if d.Class == reconcile.Unreadable {
				unnamed = !l.noteUnreadable(machine, &r.Tasks[d.Entry]) || unnamed
				continue
			}
			if attempt := machine.Attempts[key]; attempt != nil && r.Tasks[d.Entry].State != protocol.TaskExited {
				l.shows(attempt, r.Tasks[d.Entry].State)
			}
		case reconcile.Await:
			unproven = unproven || d.Current
		case reconcile.Release:
			if attempt := machine.Attempts[key]; attempt != nil {
				l.lifecycle.RemoveGone(attempt)
			}
		case reconcile.Stop:
			l.fence(machine, key, &r.Tasks[d.Entry], d)
		case reconcile.RecordEnd:
			l.recordEnd(machine, key, &r.Tasks[d.Entry])
		}
	}
	maps.DeleteFunc(machine.Delivery.ForgetSentAt, func(key cluster.AttemptID, _ time.Time) bool { return !machine.ShowsExited(key) })
	l.limitUnreadable(machine, unnamed, unproven)
}

// shows notes the state of an attempt that a worker has.
func (l *leader) shows(attempt *cluster.Attempt, state protocol.TaskState) {
	if state == "" {
		state = stateUnknown // seen all the same, so that it is not started again
	}
	attempt.ReportedState = state
	attempt.StartSent = true
	if state == protocol.TaskRunning && attempt.RunningSince.IsZero() {
		attempt.RunningSince = l.n.now
		l.n.log.Debug("task runs", "job", attempt.Job.ID, "task", attempt.Key.Index, "attempt", attempt.Key.Number, "machine", attempt.Machine.ID)
	}
}

// stateUnknown stands for a state that a worker left empty.
const stateUnknown protocol.TaskState = "unknown"

// fence has an attempt that no record asks for stopped. It takes room until it is gone,
// and must be gone before its task starts anywhere else. What a report shows that may be
// a late copy is counted as there and not yet stopped: the worker may have ended it.
func (l *leader) fence(machine *cluster.Machine, key cluster.AttemptID, entry *protocol.TaskStatus, d reconcile.Difference) {
	job := l.cluster.Jobs[key.Job]
	if job == nil || key.Index >= len(job.Tasks) {
		if d.Current {
			machine.Delivery.Orphans = append(machine.Delivery.Orphans, key)
		}
		return
	}
	attempt := machine.Attempts[key]
	if attempt == nil {
		attempt = l.cluster.AddAttempt(job, key.Index, key.Number, machine, machine.Agent.Incarnation)
		attempt.Committed, attempt.StartSent, attempt.Recovered, attempt.Orphaned = true, true, true, true
	}
	l.shows(attempt, entry.State)
	l.skipAttempts(job, key)
	if d.Current || job.Cancelled {
		if !attempt.Stopping {
			l.n.log.Info("stopping what no record asks for", "class", d.Class.String(), "job", job.ID, "task", key.Index, "attempt", key.Number, "machine", machine.ID)
		}
		l.lifecycle.Stop(attempt, 0)
	}
}

// skipAttempts has the next attempt of a task numbered above one that the records never
// had: a start of the same attempt would do nothing where the old one is.
func (l *leader) skipAttempts(job *cluster.Job, key cluster.AttemptID) {
	if task := &job.Tasks[key.Index]; key.Number > task.LastAttempt && key.Number < tuning.MaxTrustedAttempt {
		task.LastAttempt = key.Number
	}
}

// recordEnd takes the end of an attempt, and of its task if it is done.
func (l *leader) recordEnd(machine *cluster.Machine, key cluster.AttemptID, entry *protocol.TaskStatus) {
	if job := l.cluster.Jobs[key.Job]; entry.Cause == protocol.CauseDone && job != nil {
		l.lifecycle.MarkDone(job, key.Index)
		clear(machine.FailedJobs)
	}
	attempt := machine.Attempts[key]
	if attempt == nil {
		return
	}
	if attempt.StartUnanswered || attempt.StartsInFlight > 0 {
		machine.Delivery.Pinned[key] = true
	}
	attempt.ReportedState = protocol.TaskExited
	l.lifecycle.HandleExit(attempt, entry)
	l.lifecycle.RemoveGone(attempt)
}

// noteUnreadable takes an entry that makes no sense, which is logged once for each machine
// and name; named is false if it does not even name a task.
func (l *leader) noteUnreadable(machine *cluster.Machine, entry *protocol.TaskStatus) (named bool) {
	id, _, named := protocol.SplitTask(entry.Task)
	if named && l.unreadable[id] {
		machine.IdleSince = l.n.now // a job that is left alone runs on, so the machine is not idle
		return true
	}
	l.logOnce("entry of a report makes no sense", string(machine.ID)+" "+entry.Task, "machine", machine.ID, "task", entry.Task, "state", string(entry.State))
	return named
}

// limitUnreadable returns a machine whose reports have had entries that name no task for
// a lease, if they keep it from proving something gone: its deletion does.
func (l *leader) limitUnreadable(machine *cluster.Machine, unnamed, unproven bool) {
	switch {
	case !unnamed:
		machine.Agent.UnreadableSince = time.Time{}
	case machine.Agent.UnreadableSince.IsZero():
		machine.Agent.UnreadableSince = l.n.now
	case unproven && l.n.now.Sub(machine.Agent.UnreadableSince) > config.Seconds(l.n.cfg.Cluster.Workers.LeaseS):
		l.autoscaler.ReturnMachine(machine, "its reports cannot be read")
	}
}

// logOnce logs bad input once for each key.
func (l *leader) logOnce(message, key string, attributes ...any) {
	if l.logged[key] {
		return
	}
	if len(l.logged) >= tuning.MaxRememberedLogKeys {
		clear(l.logged)
	}
	l.logged[key] = true
	l.n.log.Error(message, attributes...)
}
