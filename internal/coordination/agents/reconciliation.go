package agents

import (
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/lifecycle"
	"github.com/gappond/gappond/internal/coordination/reconcile"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// storedRecords presents the cluster model to package reconcile: the attempts that the records
// place, and others that are known to take capacity.
type storedRecords struct {
	state *cluster.State
	env   HeartbeatEnvironment
	// startOutcomesKnown: the agent's state arrived in a heartbeat, which shows whether a start
	// in an earlier response has reached the agent.
	startOutcomesKnown bool
}

// Job implements reconcile.Records.
func (s *storedRecords) Job(id protocol.JobID) (reconcile.Job, bool) {
	job := s.state.Jobs[id]
	if job == nil {
		return reconcile.Job{Unreadable: s.env.Unreadable(id)}, false
	}
	return reconcile.Job{Tasks: len(job.Tasks), Gang: job.Spec.Gang(), Service: job.Spec.Service(), Epoch: job.Epoch, Unreadable: s.env.Unreadable(id)}, true
}

// Task implements reconcile.Records.
func (s *storedRecords) Task(id reconcile.TaskID) reconcile.Task {
	t := &s.state.Jobs[id.Job].Tasks[id.Index]
	task := reconcile.Task{LastAttempt: t.LastAttempt, Done: t.Done}
	if t.Active != nil {
		task.Machine = t.Active.Machine.ID
	}
	return task
}

// Attempts implements reconcile.Records.
func (s *storedRecords) Attempts(name protocol.MachineID, list []reconcile.Attempt) []reconcile.Attempt {
	machine := s.state.Machines[name]
	if machine == nil {
		return list
	}
	for _, attempt := range cluster.SortedAttemptsOn(machine) {
		list = append(list, reconcile.Attempt{ID: attemptID(attempt), Incarnation: attempt.Incarnation, Undelivered: s.undelivered(attempt), Orphaned: attempt.Orphaned})
	}
	return list
}

// undelivered reports whether a start of an attempt may be on its way or will be sent again. This
// leader never starts an attempt that a previous leader recorded.
func (s *storedRecords) undelivered(attempt *cluster.Attempt) bool {
	if !attempt.StartSent || attempt.StartMayArrive() || attempt.StartInResponse && !s.startOutcomesKnown {
		return true
	}
	return attempt.ReportedState == "" && !attempt.Stopping && !attempt.Recovered
}

// attemptID returns the identifier of an attempt in package reconcile.
func attemptID(attempt *cluster.Attempt) reconcile.AttemptID {
	return reconcile.AttemptID{TaskID: reconcile.TaskID{Job: attempt.Job.ID, Index: attempt.Key.Index}, Attempt: attempt.Key.Number}
}

// resolve applies the resolution of each difference between a heartbeat and the records.
func (h *Heartbeats) resolve(machine *cluster.Machine, heartbeat *protocol.Heartbeat, differences []reconcile.Difference) {
	machine.Agent.Exited = machine.Agent.Exited[:0]
	hasUnnamedEntry, absenceUnproven := false, false
	for _, d := range differences {
		h.recovery.Observe(d)
		key := cluster.AttemptID{Job: d.ID.Job, Index: d.ID.Index, Number: d.ID.Attempt}
		if d.EntryIndex >= 0 && machine.Attempts[key] == nil {
			h.checkForgotten(machine, key)
		}
		if d.EntryIndex >= 0 && d.Class != reconcile.Unreadable && heartbeat.Tasks[d.EntryIndex].State == protocol.TaskExited {
			machine.Agent.Exited = append(machine.Agent.Exited, heartbeat.Tasks[d.EntryIndex])
		}
		switch d.Class.Resolution() {
		case reconcile.Keep:
			if d.Class == reconcile.Unreadable {
				hasUnnamedEntry = !h.handleUnreadableEntry(machine, &heartbeat.Tasks[d.EntryIndex]) || hasUnnamedEntry
				continue
			}
			if attempt := machine.Attempts[key]; attempt != nil && heartbeat.Tasks[d.EntryIndex].State != protocol.TaskExited {
				h.recordState(attempt, heartbeat.Tasks[d.EntryIndex].State)
			}
		case reconcile.Await:
			absenceUnproven = absenceUnproven || d.TokenCurrent
		case reconcile.Release:
			if attempt := machine.Attempts[key]; attempt != nil {
				h.release(attempt, heartbeat)
			}
		case reconcile.Stop:
			h.stopOrphan(machine, key, &heartbeat.Tasks[d.EntryIndex], d)
		case reconcile.RecordEnd:
			h.recordEnd(machine, key, &heartbeat.Tasks[d.EntryIndex])
		}
	}
	h.logReleased(machine)
	h.noteForgotten(machine)
	h.deleteIfUnreadable(machine, hasUnnamedEntry, absenceUnproven)
}

// release removes an attempt that a heartbeat proves gone without showing its exit.
func (h *Heartbeats) release(attempt *cluster.Attempt, heartbeat *protocol.Heartbeat) {
	evidence := lifecycle.AbsenceReported
	if attempt.Incarnation < heartbeat.Incarnation {
		evidence = lifecycle.IncarnationEnded
	}
	h.released[evidence] = append(h.released[evidence], attempt)
	h.lifecycle.RemoveGone(attempt, evidence)
}

// logReleased logs the attempts that the last heartbeat proved gone.
func (h *Heartbeats) logReleased(machine *cluster.Machine) {
	for evidence := range h.released {
		h.lifecycle.LogGone(machine, h.released[evidence], lifecycle.Evidence(evidence))
		clear(h.released[evidence])
		h.released[evidence] = h.released[evidence][:0]
	}
}

// noteForgotten remembers the attempts that the agent was told to forget and no longer shows.
func (h *Heartbeats) noteForgotten(machine *cluster.Machine) {
	for key := range machine.Delivery.ForgetSentAt {
		if !machine.ShowsExited(key) {
			delete(machine.Delivery.ForgetSentAt, key)
			h.forgotten.add(machine, key)
		}
	}
}

// checkForgotten logs an attempt that the agent reports although it has forgotten it: a late start
// has reached it.
func (h *Heartbeats) checkForgotten(machine *cluster.Machine, key cluster.AttemptID) {
	if _, awaited := machine.Delivery.ForgetSentAt[key]; awaited {
		return
	}
	shown, forgotten := h.forgotten.take(machine, key)
	if !forgotten {
		return
	}
	h.counters.ForgottenReported++
	h.log.Error("agent holds an attempt that it was told to forget", "job", key.Job, "task", key.Index, "attempt", key.Number,
		"machine", machine.ID, "token", machine.Agent.Token, "shown", shown, "incarnation", machine.Agent.Incarnation)
}

// recordState stores the state of an attempt that an agent reports.
func (h *Heartbeats) recordState(attempt *cluster.Attempt, state protocol.TaskState) {
	if state == "" {
		state = stateUnknown // the agent has the attempt, so it must not be started again
	}
	if attempt.ObserveState(state, h.state.Now()) {
		h.log.Debug("task runs", "job", attempt.Job.ID, "task", attempt.Key.Index, "attempt", attempt.Key.Number, "machine", attempt.Machine.ID)
	}
}

// stateUnknown replaces a state that an agent left empty.
const stateUnknown protocol.TaskState = "unknown"

// stopOrphan stops an attempt that no record asks for. The attempt takes capacity until it is
// gone, and must be gone before its task starts anywhere else. If the heartbeat may be a late
// copy, the attempt counts as present but is not stopped yet, unless its job is cancelled: the
// agent may have ended it already.
func (h *Heartbeats) stopOrphan(machine *cluster.Machine, key cluster.AttemptID, entry *protocol.TaskStatus, d reconcile.Difference) {
	job := h.state.Jobs[key.Job]
	if job == nil || key.Index >= len(job.Tasks) {
		if d.TokenCurrent {
			machine.Delivery.Orphans = append(machine.Delivery.Orphans, key)
		}
		return
	}
	attempt := machine.Attempts[key]
	if attempt == nil {
		attempt = h.state.AddAttempt(job, key.Index, key.Number, machine, machine.Agent.Incarnation)
		attempt.MarkOrphaned()
	}
	h.recordState(attempt, entry.State)
	h.skipAttemptNumbers(job, key)
	if d.TokenCurrent || job.Cancelled {
		if !attempt.Stopping {
			h.log.Info("stopping orphaned attempt", "class", d.Class.String(), "job", job.ID, "task", key.Index, "attempt", key.Number, "machine", machine.ID)
		}
		h.lifecycle.Stop(attempt, 0)
	}
}

// skipAttemptNumbers makes sure that the next attempt of a task is numbered above one that the
// records never had. A start with the same number would do nothing where the old attempt is.
// Numbers from tuning.MaxTrustedAttempt on are not skipped.
func (h *Heartbeats) skipAttemptNumbers(job *cluster.Job, key cluster.AttemptID) {
	if task := &job.Tasks[key.Index]; key.Number > task.LastAttempt && key.Number < tuning.MaxTrustedAttempt {
		task.LastAttempt = key.Number
	}
}

// recordEnd processes the end of an attempt, and of its task if that is done.
func (h *Heartbeats) recordEnd(machine *cluster.Machine, key cluster.AttemptID, entry *protocol.TaskStatus) {
	attempt := machine.Attempts[key]
	if job := h.state.Jobs[key.Job]; entry.Cause == protocol.CauseDone && job != nil {
		h.lifecycle.MarkDone(job, key.Index)
		h.lifecycle.ObserveSuccess(machine, job, attempt)
	}
	if attempt == nil {
		return
	}
	attempt.ObserveExit()
	h.lifecycle.HandleExit(attempt, entry)
	h.lifecycle.RemoveGone(attempt, lifecycle.ExitReported)
}

// handleUnreadableEntry handles an entry that is invalid or of a job whose record cannot be read.
// An invalid entry is logged once for each machine and task name. The result is false if the
// entry does not name a task.
func (h *Heartbeats) handleUnreadableEntry(machine *cluster.Machine, entry *protocol.TaskStatus) (named bool) {
	id, _, named := protocol.SplitTask(entry.Task)
	if named && h.env.Unreadable(id) {
		machine.IdleSince = h.state.Now() // the job's tasks are left running, so the machine is not idle
		return true
	}
	h.env.LogOnce("heartbeat entry is unreadable", string(machine.ID)+" "+entry.Task, "machine", machine.ID, "task", entry.Task, "state", string(entry.State))
	return named
}

// deleteIfUnreadable requests the deletion of a machine whose heartbeats have had entries that
// name no task for an agent lease, if these entries keep the heartbeats from proving an attempt
// gone. The deletion of the machine proves it.
func (h *Heartbeats) deleteIfUnreadable(machine *cluster.Machine, hasUnnamedEntry, absenceUnproven bool) {
	switch {
	case !hasUnnamedEntry:
		machine.Agent.UnreadableSince = time.Time{}
	case machine.Agent.UnreadableSince.IsZero():
		machine.Agent.UnreadableSince = h.state.Now()
	case absenceUnproven && h.state.Now().Sub(machine.Agent.UnreadableSince) > config.Seconds(h.state.Config.Cluster.Agents.LeaseS):
		h.fleet.DeleteMachine(machine, "its heartbeats cannot be read")
	}
}
