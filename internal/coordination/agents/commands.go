package agents

import (
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// deliveryPath is the way on which commands reach an agent.
type deliveryPath int

const (
	viaResponse deliveryPath = iota // in the response to a heartbeat
	viaCall                         // in a call of the leader
)

// CommandsForResponse lists the commands for the response to an agent's heartbeat.
func (d *Delivery) CommandsForResponse(machine *cluster.Machine) []protocol.Command {
	return d.commands(machine, viaResponse)
}

// commands lists what an agent should do: forget first, for a task may come back to a
// machine that still holds its old attempt, then stop, then start.
func (d *Delivery) commands(machine *cluster.Machine, via deliveryPath) []protocol.Command {
	commands := d.appendForgets(nil, machine)
	for _, orphan := range machine.Delivery.Orphans {
		commands = append(commands, protocol.Command{Kind: protocol.CommandStop, Task: protocol.TaskName(orphan.Job, orphan.Index), Attempt: orphan.Number})
	}
	machine.Delivery.Orphans = machine.Delivery.Orphans[:0]
	attempts := cluster.SortedAttemptsOn(machine)
	commands = d.appendStops(commands, attempts, via)
	commands = d.appendStarts(commands, attempts, via)
	if len(commands) > tuning.MaxCommandsPerResponse {
		commands = commands[:tuning.MaxCommandsPerResponse]
	}
	for _, command := range commands {
		d.recovery.CommandSent(command.Kind)
	}
	return commands
}

// appendForgets has exited attempts forgotten.
func (d *Delivery) appendForgets(commands []protocol.Command, machine *cluster.Machine) []protocol.Command {
	if !machine.Agent.TokenConfirmed {
		return commands
	}
	for _, exited := range machine.Agent.Exited {
		if d.isForgettable(machine, exited) && d.forgetIsDue(machine, exited) {
			commands = append(commands, protocol.Command{Kind: protocol.CommandForget, Task: exited.Task, Attempt: exited.Attempt})
		}
	}
	return commands
}

// appendStops stops the attempts that are to end.
func (d *Delivery) appendStops(commands []protocol.Command, attempts []*cluster.Attempt, via deliveryPath) []protocol.Command {
	now := d.state.Now()
	for _, attempt := range attempts {
		if !attempt.Stopping || !attempt.StartSent || attempt.Recovered && attempt.ReportedState == "" {
			continue // what a predecessor placed is stopped once a heartbeat shows it
		}
		if attempt.ReportedState == "" && attempt.StartMayArrive() {
			// The lost start may yet arrive. Once the agent holds the attempt,
			// a late copy of it does nothing: so start it and end it at once.
			commands = append(commands, d.startCommand(attempt, via))
		}
		if via == viaResponse || now.Sub(attempt.StopSentAt) > tuning.StopResendDelay {
			attempt.MarkStopSent(now)
			commands = append(commands, protocol.Command{Kind: protocol.CommandStop, Task: protocol.TaskName(attempt.Job.ID, attempt.Key.Index), Attempt: attempt.Key.Number, GraceS: attempt.GraceS})
		}
	}
	return commands
}

// appendStarts starts the attempts whose places are committed.
func (d *Delivery) appendStarts(commands []protocol.Command, attempts []*cluster.Attempt, via deliveryPath) []protocol.Command {
	for _, attempt := range attempts {
		if attempt.Stopping || !attempt.Committed || attempt.ReportedState != "" || attempt.Recovered {
			continue
		}
		if attempt.Job.Spec.Gang() && (len(attempt.Job.Write.Dirty) > 0 || attempt.Job.Write.InFlight) {
			continue // not every task's place is written yet
		}
		if d.mustDeferStart(attempt, via) {
			continue
		}
		if machine := attempt.Machine; machine.Cordoned || machine.Deleting {
			d.lifecycle.Stop(attempt, 0)
			continue
		}
		commands = append(commands, d.startCommand(attempt, via))
	}
	return commands
}

// mustDeferStart says whether an attempt's start need not be sent this way, for it may be
// on another.
func (d *Delivery) mustDeferStart(attempt *cluster.Attempt, via deliveryPath) bool {
	if via == viaCall {
		return attempt.StartsInFlight > 0 || attempt.StartInResponse || !d.state.Config.Operator.DirectStarts
	}
	// The heartbeat may have been sent before the command came.
	return attempt.StartsInFlight > 0 && d.state.Now().Sub(attempt.StartSentAt) < tuning.DirectStartSettleTime
}

func (d *Delivery) startCommand(attempt *cluster.Attempt, via deliveryPath) protocol.Command {
	d.log.Debug("start sent", "job", attempt.Job.ID, "task", attempt.Key.Index, "attempt", attempt.Key.Number, "machine", attempt.Machine.ID, "direct", via == viaCall)
	if !attempt.StartSent {
		d.env.TaskStarting(attempt)
	}
	if via == viaResponse {
		attempt.MarkStartInResponse()
	} else {
		attempt.MarkStartSent()
	}
	attempt.Machine.UseImage(attempt.Job.Spec, d.state.TypeOf(attempt.Machine))
	return protocol.Command{Kind: protocol.CommandStart, Task: protocol.TaskName(attempt.Job.ID, attempt.Key.Index), Attempt: attempt.Key.Number}
}

// isForgettable says whether an exited attempt may be forgotten: what it achieved
// is stored, and no late start of it can arrive.
func (d *Delivery) isForgettable(machine *cluster.Machine, exited protocol.TaskStatus) bool {
	id, index, _ := protocol.SplitTask(exited.Task)
	key := cluster.AttemptID{Job: id, Index: index, Number: exited.Attempt}
	if machine.Delivery.MustNotForget[key] || machine.Attempts[key] != nil || d.env.Unreadable(id) {
		return false
	}
	job := d.state.Jobs[id]
	if job == nil || index >= len(job.Tasks) {
		return true
	}
	return exited.Cause != protocol.CauseDone || !job.Write.InFlight && !job.Write.Dirty[job.RecordOf(index)]
}

// forgetIsDue says whether an agent is to be told now to forget an exited attempt: not again
// while it may have yet to report that it has, unless the task is to start there anew.
func (d *Delivery) forgetIsDue(machine *cluster.Machine, exited protocol.TaskStatus) bool {
	id, index, _ := protocol.SplitTask(exited.Task)
	key := cluster.AttemptID{Job: id, Index: index, Number: exited.Attempt}
	for other := range machine.Attempts {
		if other.Job == id && other.Index == index {
			return true
		}
	}
	now := d.state.Now()
	if now.Sub(machine.Delivery.ForgetSentAt[key]) < tuning.StopResendDelay {
		return false
	}
	machine.Delivery.ForgetSentAt[key] = now
	return true
}
