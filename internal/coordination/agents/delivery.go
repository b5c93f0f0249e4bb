package agents

import (
	"log/slog"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/lifecycle"
	"github.com/gappond/gappond/internal/coordination/reconcile"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// DeliveryEnvironment is what the delivery of commands needs of the leader.
type DeliveryEnvironment interface {
	// MayCommand says whether the leader has the authority to command agents now.
	MayCommand() bool
	// Unreadable says whether a record of a job cannot be read, so that its exited attempts
	// are kept.
	Unreadable(job protocol.JobID) bool
	// TaskStarting notes that an attempt's first start is about to leave.
	TaskStarting(attempt *cluster.Attempt)
}

// Delivery sends commands to agents: in the responses to heartbeats, and in calls where
// they should not wait for one. A start that was not answered may arrive at any later time,
// so its attempt is pinned: made to exist, stopped, and never forgotten.
type Delivery struct {
	state      *cluster.State
	lifecycle  *lifecycle.Manager
	recovery   *reconcile.RecoveryPhase // counts the commands
	calls      *Calls
	heartbeats *Heartbeats
	env        DeliveryEnvironment
	log        *slog.Logger
	term       protocol.Term
	pending    []*cluster.Machine // have commands that should not wait for a heartbeat
}

// Enqueue marks a machine as having commands that should not wait for a heartbeat.
func (d *Delivery) Enqueue(machine *cluster.Machine) {
	if !machine.Delivery.Queued {
		machine.Delivery.Queued = true
		d.pending = append(d.pending, machine)
	}
}

// Pending lists the machines that have such commands, in the order they came.
func (d *Delivery) Pending() []*cluster.Machine { return d.pending }

// SendPending sends the commands that should not wait for the next heartbeat.
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

// isCallable says whether commands may be sent to an agent in a call of its own.
func (d *Delivery) isCallable(machine *cluster.Machine) bool {
	return !machine.Delivery.InFlight && machine.Address != "" && !d.state.Now().Before(machine.Delivery.CallNotBefore)
}

// presentToken shows the fencing token to an agent with tasks that has not sent this leader
// a heartbeat, if there is time: most of them send one by themselves.
func (d *Delivery) presentToken(machine *cluster.Machine) {
	if !machine.Agent.Heard && machine.Agent.Incarnation > 0 && !machine.Deleting && d.isCallable(machine) && d.calls.MayProbe() {
		d.call(machine, nil)
	}
}

// call sends commands to an agent.
func (d *Delivery) call(machine *cluster.Machine, commands []protocol.Command) {
	starts := d.noteStartsInFlight(machine, commands)
	machine.Delivery.InFlight = true
	batch := protocol.CommandBatch{FencingToken: d.term, Incarnation: machine.Agent.Incarnation, Commands: commands}
	d.calls.SendCommands(machine, batch, func(result CallResult) {
		machine.Delivery.InFlight = false
		answered := result.Outcome == Executed || result.Outcome == Refused
		for _, attempt := range starts {
			if answered {
				attempt.EndDirectStart()
				continue
			}
			attempt.MarkDirectStartUnanswered()
			machine.Delivery.MustNotForget[attempt.ID()] = true
		}
		if !answered {
			d.retryUnanswered(machine)
			return
		}
		d.heartbeats.ObserveCallResult(machine, result)
		if result.Outcome == Refused {
			machine.Delivery.CallNotBefore = d.state.Now().Add(tuning.StopResendDelay)
			d.Enqueue(machine)
		}
	})
}

// noteStartsInFlight lists the attempts whose start is among the commands of a call.
func (d *Delivery) noteStartsInFlight(machine *cluster.Machine, commands []protocol.Command) (starts []*cluster.Attempt) {
	for _, command := range commands {
		if command.Kind != protocol.CommandStart {
			continue
		}
		id, index, _ := protocol.SplitTask(command.Task)
		if attempt := machine.Attempts[cluster.AttemptID{Job: id, Index: index, Number: command.Attempt}]; attempt != nil {
			attempt.BeginDirectStart(d.state.Now())
			starts = append(starts, attempt)
		}
	}
	return starts
}

// retryUnanswered has commands sent again some time after a call that was not answered.
func (d *Delivery) retryUnanswered(machine *cluster.Machine) {
	now := d.state.Now()
	machine.Agent.IneffectiveResponses = max(machine.Agent.IneffectiveResponses, 1)
	machine.Delivery.CallNotBefore = now.Add(tuning.StopResendDelay)
	switch {
	case !machine.Agent.Heard:
		machine.Delivery.CallNotBefore = now.Add(d.state.SilenceTimeout()) // others have their turn
	case len(machine.Attempts) > 0:
		d.Enqueue(machine)
	}
}
