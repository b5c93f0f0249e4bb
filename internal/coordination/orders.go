package coordination

import (
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// CommandsPending marks a machine as having orders that should not wait for a report.
func (l *leader) CommandsPending(machine *cluster.Machine) {
	if !machine.Delivery.Queued {
		machine.Delivery.Queued = true
		l.directQueue = append(l.directQueue, machine)
	}
}

// orders lists what a worker should do: forget first, for a task may come back
// to a machine that still holds its old attempt, then stop, then start.
func (l *leader) orders(machine *cluster.Machine, inReply bool) []protocol.Command {
	var cmds []protocol.Command
	if machine.Agent.TokenConfirmed {
		for _, t := range machine.Agent.Exited {
			if l.reapable(machine, t) && l.mayForget(machine, t) {
				cmds = append(cmds, protocol.Command{Kind: protocol.CommandForget, Task: t.Task, Attempt: t.Attempt})
			}
		}
	}
	for _, k := range machine.Delivery.Orphans {
		cmds = append(cmds, protocol.Command{Kind: protocol.CommandStop, Task: protocol.TaskName(k.Job, k.Index), Attempt: k.Number})
	}
	machine.Delivery.Orphans = machine.Delivery.Orphans[:0]
	list := cluster.SortedAttemptsOn(machine)
	for _, attempt := range list {
		if !attempt.Stopping || !attempt.StartSent || attempt.Recovered && attempt.ReportedState == "" {
			continue // what a predecessor placed is stopped once a report shows it
		}
		if attempt.ReportedState == "" && (attempt.StartUnanswered || attempt.StartsInFlight > 0) {
			// The lost start may yet arrive. Once the worker holds the attempt,
			// a late copy of it does nothing: so start it and end it at once.
			cmds = append(cmds, l.startOrder(attempt, inReply))
		}
		if inReply || l.n.now.Sub(attempt.StopSentAt) > tuning.StopResendDelay {
			attempt.StopSentAt = l.n.now
			cmds = append(cmds, protocol.Command{Kind: protocol.CommandStop, Task: protocol.TaskName(attempt.Job.ID, attempt.Key.Index), Attempt: attempt.Key.Number, GraceS: attempt.GraceS})
		}
	}
	for _, attempt := range list {
		if attempt.Stopping || !attempt.Committed || attempt.ReportedState != "" || attempt.Recovered {
			continue
		}
		if attempt.Job.Spec.Gang() && (len(attempt.Job.Write.Dirty) > 0 || attempt.Job.Write.InFlight) {
			continue // not every task's place is written yet
		}
		if !inReply && (attempt.StartsInFlight > 0 || attempt.StartInResponse || !l.n.cfg.Operator.DirectStarts) {
			continue
		}
		if inReply && attempt.StartsInFlight > 0 && l.n.now.Sub(attempt.StartSentAt) < tuning.DirectStartSettleTime {
			continue // the report was sent before the order came
		}
		if machine.Cordoned || machine.Deleting {
			l.lifecycle.Stop(attempt, 0)
			continue
		}
		cmds = append(cmds, l.startOrder(attempt, inReply))
	}
	if len(cmds) > tuning.MaxCommandsPerResponse {
		cmds = cmds[:tuning.MaxCommandsPerResponse]
	}
	for _, cmd := range cmds {
		l.recovery.Ordered(cmd.Kind)
	}
	return cmds
}

func (l *leader) startOrder(attempt *cluster.Attempt, inReply bool) protocol.Command {
	l.n.log.Debug("start", "job", attempt.Job.ID, "task", attempt.Key.Index, "attempt", attempt.Key.Number, "machine", attempt.Machine.ID, "direct", !inReply)
	if !attempt.StartSent {
		l.n.metrics.Starts++
		l.n.metrics.WaitSeconds = append(l.n.metrics.WaitSeconds, l.n.now.Sub(attempt.Job.SubmittedAt).Seconds())
	}
	attempt.StartSent = true
	if inReply {
		attempt.StartInResponse = true
	}
	attempt.Machine.UseImage(attempt.Job.Spec, l.cluster.TypeOf(attempt.Machine))
	return protocol.Command{Kind: protocol.CommandStart, Task: protocol.TaskName(attempt.Job.ID, attempt.Key.Index), Attempt: attempt.Key.Number}
}

// reapable says whether an exited attempt may be forgotten: what it achieved
// is stored, and no late start of it can arrive.
func (l *leader) reapable(machine *cluster.Machine, t protocol.TaskStatus) bool {
	id, index, _ := protocol.SplitTask(t.Task)
	key := cluster.AttemptID{Job: id, Index: index, Number: t.Attempt}
	if machine.Delivery.Pinned[key] || machine.Attempts[key] != nil || l.unreadable[id] {
		return false
	}
	job := l.cluster.Jobs[id]
	if job == nil || index >= len(job.Tasks) {
		return true
	}
	return t.Cause != protocol.CauseDone || !job.Write.InFlight && !job.Write.Dirty[job.RecordOf(index)]
}

// mayForget says whether a worker is to be told to forget an exited attempt: not again
// while it may have yet to report that it has, unless the task is to start there anew.
func (l *leader) mayForget(machine *cluster.Machine, t protocol.TaskStatus) bool {
	id, index, _ := protocol.SplitTask(t.Task)
	key := cluster.AttemptID{Job: id, Index: index, Number: t.Attempt}
	for other := range machine.Attempts {
		if other.Job == id && other.Index == index {
			return true
		}
	}
	if l.n.now.Sub(machine.Delivery.ForgetSentAt[key]) < tuning.StopResendDelay {
		return false
	}
	machine.Delivery.ForgetSentAt[key] = l.n.now
	return true
}

// sendDirect sends orders that should not wait for the next report.
func (l *leader) sendDirect() {
	if !l.n.mayAct() {
		return
	}
	now := l.n.now
	list := l.directQueue
	l.directQueue = nil
	for _, machine := range list {
		machine.Delivery.Queued = false
		if machine.Deleting || l.cluster.Machines[machine.ID] != machine || !machine.Agent.Heard {
			continue
		}
		if machine.Delivery.InFlight || machine.Address == "" || now.Before(machine.Delivery.NotBefore) || !l.cluster.HeardRecently(machine) || !l.mayCall(false) {
			l.CommandsPending(machine)
			continue
		}
		if cmds := l.orders(machine, false); len(cmds) > 0 {
			l.direct(machine, cmds)
		}
	}
}

// presentToken shows the token to a worker with tasks that has not reported to
// this leader, if there is time: most of them report by themselves.
func (l *leader) presentToken(machine *cluster.Machine) {
	if !machine.Agent.Heard && machine.Agent.Incarnation > 0 && !machine.Delivery.InFlight && !machine.Deleting && machine.Address != "" && !l.n.now.Before(machine.Delivery.NotBefore) && l.mayCall(true) {
		l.direct(machine, nil)
	}
}

func (l *leader) direct(machine *cluster.Machine, cmds []protocol.Command) {
	var starts []*cluster.Attempt
	for _, cmd := range cmds {
		if cmd.Kind != protocol.CommandStart {
			continue
		}
		id, index, _ := protocol.SplitTask(cmd.Task)
		if attempt := machine.Attempts[cluster.AttemptID{Job: id, Index: index, Number: cmd.Attempt}]; attempt != nil {
			attempt.StartsInFlight++
			attempt.StartSentAt = l.n.now
			starts = append(starts, attempt)
		}
	}
	machine.Delivery.InFlight = true
	body := protocol.CommandBatch{FencingToken: l.n.lease.term, Incarnation: machine.Agent.Incarnation, Commands: cmds}
	l.call(machine, "POST", protocol.PathCommands, body, func(status int, body []byte) {
		machine.Delivery.InFlight = false
		for _, attempt := range starts {
			attempt.StartsInFlight--
			if status != 200 && status != 409 {
				// It may arrive at any later time while session and token match.
				attempt.StartUnanswered = true
				machine.Delivery.Pinned[attempt.ID()] = true
			}
		}
		if status != 200 && status != 409 {
			machine.Agent.UnseenAnswers = max(machine.Agent.UnseenAnswers, 1)
			machine.Delivery.NotBefore = l.n.now.Add(tuning.StopResendDelay)
			switch {
			case !machine.Agent.Heard:
				machine.Delivery.NotBefore = l.n.now.Add(l.cluster.SilenceTimeout()) // others have their turn
			case len(machine.Attempts) > 0:
				l.CommandsPending(machine)
			}
			return
		}
		l.takeAnswer(machine, body)
		if status == 409 {
			machine.Delivery.NotBefore = l.n.now.Add(tuning.StopResendDelay)
			l.CommandsPending(machine)
		}
	})
}

// takeAnswer takes the report that a worker gave as an answer.
func (l *leader) takeAnswer(machine *cluster.Machine, body []byte) {
	r, err := protocol.ParseHeartbeat(body)
	if err != nil || r.Machine != machine.ID {
		l.n.log.Error("a worker's answer is no report of its own", "machine", machine.ID, "error", err)
		return
	}
	if r.FencingToken > l.n.lease.term {
		l.refuseHigherToken(r)
		return
	}
	l.report(r, false)
}
