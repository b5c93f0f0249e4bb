package agents

import (
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// deliveryPath tells how commands are sent to an agent.
type deliveryPath int

const (
	viaResponse deliveryPath = iota // in the response to a heartbeat
	viaCall                         // in a call by the leader
)

// CommandsForResponse returns the commands for the response to an agent's heartbeat.
func (d *Delivery) CommandsForResponse(machine *cluster.Machine) []protocol.Command {
	return d.commands(machine, viaResponse)
}

// commands returns the commands for an agent. Commands to forget come first, because a task may
// return to a machine that still holds its old attempt; then stops, then starts.
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
	d.recordCommands(machine, commands, via)
	return commands
}

// appendForgets appends commands to forget exited attempts.
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

// appendStops appends commands to stop the attempts that should end.
func (d *Delivery) appendStops(commands []protocol.Command, attempts []*cluster.Attempt, via deliveryPath) []protocol.Command {
	now := d.state.Now()
	for _, attempt := range attempts {
		if !attempt.Stopping || !attempt.StartSent || attempt.Recovered && attempt.ReportedState == "" {
			continue // an attempt of a previous leader is stopped once a heartbeat shows it
		}
		if attempt.ReportedState == "" && attempt.StartMayArrive() {
			// An unanswered start may still arrive. It does nothing if the agent already
			// holds the attempt, so start the attempt and stop it at once.
			commands = append(commands, d.startCommand(attempt, via))
		}
		if via == viaResponse || now.Sub(attempt.StopSentAt) > tuning.CommandResendDelay {
			attempt.MarkStopSent(now)
			commands = append(commands, protocol.Command{Kind: protocol.CommandStop, Task: protocol.TaskName(attempt.Job.ID, attempt.Key.Index), Attempt: attempt.Key.Number, GraceS: attempt.GraceS})
		}
	}
	return commands
}

// appendStarts appends commands to start the attempts whose placements are committed.
func (d *Delivery) appendStarts(commands []protocol.Command, attempts []*cluster.Attempt, via deliveryPath) []protocol.Command {
	for _, attempt := range attempts {
		if attempt.Stopping || !attempt.Committed || attempt.ReportedState != "" || attempt.Recovered {
			continue
		}
		if attempt.Job.Spec.Gang() && (len(attempt.Job.Write.Dirty) > 0 || attempt.Job.Write.InFlight) {
			continue // the placements of some tasks are not written yet
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

// mustDeferStart reports whether an attempt's start must not be sent by this path now: an
// earlier start may be on its way, or direct starts are disabled.
func (d *Delivery) mustDeferStart(attempt *cluster.Attempt, via deliveryPath) bool {
	if via == viaCall {
		return attempt.StartsInFlight > 0 || attempt.StartInResponse || !d.state.Config.Operator.DirectStarts
	}
	// The agent may have sent the heartbeat before the direct start arrived.
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

// isForgettable reports whether an agent may forget an exited attempt: its result is stored, and an
// agent that has executed the command refuses every direct start of it that may still arrive.
func (d *Delivery) isForgettable(machine *cluster.Machine, exited protocol.TaskStatus) bool {
	id := exitedID(exited)
	sent, direct := machine.Delivery.DirectStarts[id]
	if direct && sent >= d.tokenFor(machine) || machine.Attempts[id] != nil || d.env.Unreadable(id.Job) {
		return false
	}
	job := d.state.Jobs[id.Job]
	if job == nil || id.Index >= len(job.Tasks) {
		return true
	}
	return exited.Cause != protocol.CauseDone || !job.Write.InFlight && !job.Write.Dirty[job.RecordOf(id.Index)]
}

// forgetIsDue reports whether to send a command to forget an exited attempt now. The command is
// not repeated at once, because the agent may not have reported its effect yet, unless the task
// is to start again on the same machine.
func (d *Delivery) forgetIsDue(machine *cluster.Machine, exited protocol.TaskStatus) bool {
	id, now := exitedID(exited), d.state.Now()
	due := now.Sub(machine.Delivery.ForgetSentAt[id]) >= tuning.CommandResendDelay
	for other := range machine.Attempts {
		due = due || other.Job == id.Job && other.Index == id.Index
	}
	if due {
		machine.Delivery.ForgetSentAt[id] = now
	}
	return due
}
