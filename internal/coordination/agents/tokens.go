package agents

import (
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
)

// ObserveCommit records the revision of a transaction that this leader has committed. Because the
// transaction was guarded on the leader lease, the revision is above every fencing token that was
// given out before, and below the term of each later leader. So it may serve as a newer token.
func (d *Delivery) ObserveCommit(revision protocol.Revision) {
	d.newest = max(d.newest, protocol.Term(revision))
}

// tokenFor returns the fencing token of the messages to an agent.
func (d *Delivery) tokenFor(machine *cluster.Machine) protocol.Term {
	return max(d.term, machine.Delivery.Token)
}

// newestTokenOf returns the highest fencing token that this leader has sent to a machine's agent,
// or would send to one that it does not know.
func (d *Delivery) newestTokenOf(id protocol.MachineID) protocol.Term {
	if machine := d.state.Machines[id]; machine != nil {
		return d.tokenFor(machine)
	}
	return d.term
}

// raiseToken has the response to an agent's heartbeat carry a newer fencing token if the agent holds
// an exited attempt that it may be told to forget only under one. Other agents keep theirs, because a
// newer token makes an agent send an early heartbeat. While a call is in flight the token stays,
// because the agent would refuse the call.
func (d *Delivery) raiseToken(machine *cluster.Machine) {
	current := d.tokenFor(machine)
	if d.newest <= current || machine.Delivery.InFlight || !machine.Agent.TokenConfirmed {
		return
	}
	for _, exited := range machine.Agent.Exited {
		id := exitedID(exited)
		if sent, direct := machine.Delivery.DirectStarts[id]; !direct || sent < current {
			continue
		}
		machine.Delivery.Token = d.newest
		d.counters.NewerTokens++
		d.log.Info("newer token shown", "machine", machine.ID, "token", d.newest, "previous", current,
			"job", id.Job, "task", id.Index, "attempt", id.Number, "exited", len(machine.Agent.Exited))
		return
	}
}

// exitedID returns the identifier of an exited attempt in a heartbeat.
func exitedID(exited protocol.TaskStatus) cluster.AttemptID {
	id, index, _ := protocol.SplitTask(exited.Task)
	return cluster.AttemptID{Job: id, Index: index, Number: exited.Attempt}
}
