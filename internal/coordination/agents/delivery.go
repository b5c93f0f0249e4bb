package agents

import (
	"log/slog"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/lifecycle"
	"github.com/gappond/gappond/internal/coordination/reconcile"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// DeliveryEnvironment is what Delivery needs of the leader.
type DeliveryEnvironment interface {
	// MayCommand reports whether the leader has the authority to command agents now.
	MayCommand() bool
	// Unreadable reports whether a record of a job cannot be read. Agents are then not told to
	// forget the job's exited attempts.
	Unreadable(job protocol.JobID) bool
	// TaskStarting is called just before the first start of an attempt is sent.
	TaskStarting(attempt *cluster.Attempt)
}

// Delivery sends commands to agents: in the responses to heartbeats, and in direct calls if
// they should not wait for a heartbeat. A direct start, or a copy of it, may arrive at any later
// time, but does nothing where the agent holds the attempt. So the attempt is pinned: to end one
// whose start got no response, the agent is told to start it and to stop it, and a command to
// forget an attempt is sent under a newer fencing token than its start.
type Delivery struct {
	state      *cluster.State
	lifecycle  *lifecycle.Manager
	recovery   *reconcile.RecoveryPhase // counts the commands sent
	calls      *Calls
	leases     *Leases
	heartbeats *Heartbeats
	env        DeliveryEnvironment
	log        *slog.Logger
	counters   *Counters
	term       protocol.Term
	newest     protocol.Term      // newest token that this leader may show to agents
	pending    []*cluster.Machine // machines with commands that should not wait for a heartbeat
}

// Enqueue adds a machine to those whose commands should not wait for a heartbeat.
func (d *Delivery) Enqueue(machine *cluster.Machine) {
	if !machine.Delivery.Queued {
		machine.Delivery.Queued = true
		d.pending = append(d.pending, machine)
	}
}

// Pending returns the machines whose commands should not wait for a heartbeat, in the order
// in which they were enqueued.
func (d *Delivery) Pending() []*cluster.Machine { return d.pending }

// SendPending calls the pending machines to send them their commands.
func (d *Delivery) SendPending() {
	if !d.env.MayCommand() {
		return
	}
	list := d.pending
	d.pending = nil
	for _, machine := range list {
		machine.Delivery.Queued = false
		if machine.Deleting || d.state.Machines[machine.ID] != machine || !machine.Agent.Heard {
			continue
		}
		if !d.isCallable(machine) || !d.state.HeardRecently(machine) || !d.calls.MaySendCommands() {
			d.Enqueue(machine)
			continue
		}
		if commands := d.commands(machine, viaCall); len(commands) > 0 {
			d.call(machine, commands)
		}
	}
}

// isCallable reports whether the agent can be sent commands in a direct call now.
func (d *Delivery) isCallable(machine *cluster.Machine) bool {
	return !machine.Delivery.InFlight && machine.Address != "" && !d.state.Now().Before(machine.Delivery.CallNotBefore)
}

// presentToken shows the fencing token to an agent with tasks that has not sent this leader
// a heartbeat. It is a call that can wait, because most agents send a heartbeat by themselves.
func (d *Delivery) presentToken(machine *cluster.Machine) {
	if !machine.Agent.Heard && machine.Agent.Incarnation > 0 && !machine.Deleting && d.isCallable(machine) && d.calls.MayProbe() {
		d.call(machine, nil)
	}
}

// call sends commands, possibly none, to an agent in a direct call.
func (d *Delivery) call(machine *cluster.Machine, commands []protocol.Command) {
	starts := d.noteStartsInFlight(machine, commands)
	machine.Delivery.InFlight = true
	batch := protocol.CommandBatch{FencingToken: d.tokenFor(machine), Incarnation: machine.Agent.Incarnation, Commands: commands}
	d.calls.SendCommands(machine, batch, func(result CallResult) { d.endCall(machine, starts, result) })
}

// endCall handles the end of a call that contained the starts of these attempts.
func (d *Delivery) endCall(machine *cluster.Machine, starts []*cluster.Attempt, result CallResult) {
	machine.Delivery.InFlight = false
	if result.Outcome != Executed && result.Outcome != Refused {
		for _, attempt := range starts {
			attempt.MarkDirectStartUnanswered()
		}
		d.retryUnanswered(machine)
		return
	}
	for _, attempt := range starts {
		attempt.EndDirectStart()
	}
	d.heartbeats.ObserveCallResult(machine, result)
	if result.Outcome == Refused {
		d.counters.RefusedCalls++
		machine.Delivery.CallNotBefore = d.state.Now().Add(tuning.CommandResendDelay)
		d.Enqueue(machine)
	}
}

// noteStartsInFlight marks the starts among the commands of a call as in flight and returns
// their attempts.
func (d *Delivery) noteStartsInFlight(machine *cluster.Machine, commands []protocol.Command) (starts []*cluster.Attempt) {
	for _, command := range commands {
		if command.Kind != protocol.CommandStart {
			continue
		}
		id, index, _ := protocol.SplitTask(command.Task)
		if attempt := machine.Attempts[cluster.AttemptID{Job: id, Index: index, Number: command.Attempt}]; attempt != nil {
			attempt.BeginDirectStart(d.state.Now())
			machine.Delivery.DirectStarts[attempt.ID()] = d.tokenFor(machine)
			starts = append(starts, attempt)
		}
	}
	return starts
}

// retryUnanswered schedules the next call after one that may not have been executed.
func (d *Delivery) retryUnanswered(machine *cluster.Machine) {
	now := d.state.Now()
	machine.Agent.IneffectiveResponses = max(machine.Agent.IneffectiveResponses, 1)
	machine.Delivery.CallNotBefore = now.Add(tuning.CommandResendDelay)
	switch {
	case !machine.Agent.Heard:
		machine.Delivery.CallNotBefore = now.Add(d.state.SilenceTimeout()) // let the leader call other agents first
	case len(machine.Attempts) > 0:
		d.Enqueue(machine)
	}
}
