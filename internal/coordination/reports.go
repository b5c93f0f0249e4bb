package coordination

import (
	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// report takes a worker's newest message. answered: it came as a report and
// will be answered with 200, which renews the worker's lease. ok is false if
// the message is older than what is known.
func (l *leader) report(r *protocol.Heartbeat, answered bool) (commands []protocol.Command, ok bool) {
	if l.autoscaler.Deleted(r.Machine) {
		return nil, false // what is deleted can only have sent this before
	}
	machine := l.cluster.EnsureMachine(r.Machine, r.Address, r.Type, r.Zone, r.Spot)
	if !r.Newer(machine.Agent.Incarnation, machine.Agent.Sequence) {
		return nil, false
	}
	differences := l.compare(r, answered)
	l.reportedIncarnation(machine, r)
	l.reportedLiveness(machine, r, answered)
	l.checkedTokens(machine)
	if machine.Record == nil && machine.Agent.TokenConfirmed {
		// One that has not shown this leader's token may be gone: a late duplicate
		// of an old report can come at any time.
		l.RecordMachine(machine)
	}
	if r.PreemptionNoticeS != nil && !machine.SpotNotice {
		machine.SpotNotice = true
		l.plan = true
		l.lifecycle.Drain(machine)
	}
	l.resolve(machine, r, differences)
	if machine.Agent.TokenConfirmed {
		l.recovery.Known(machine.ID)
	}
	if answered {
		machine.CountUnseenAnswers(r)
		commands = l.orders(machine, true)
	}
	return commands, true
}

// reportedIncarnation takes the incarnation and sequence number of a report. A newer one
// has forgotten every attempt of an older one.
func (l *leader) reportedIncarnation(machine *cluster.Machine, r *protocol.Heartbeat) {
	if r.Incarnation > machine.Agent.Incarnation {
		machine.Delivery.Pinned = map[cluster.AttemptID]bool{}
		if machine.Agent.TokenConfirmed && l.n.now.Sub(machine.Agent.AnsweredAt) < config.Seconds(l.n.cfg.Cluster.Workers.LeaseS) {
			// Its lease ran out although its reports were answered all the time.
			machine.Agent.UnseenAnswers = tuning.MaxIneffectiveResponses
		}
	}
	machine.Agent.Incarnation, machine.Agent.Sequence = r.Incarnation, r.Sequence
}

// reportedLiveness notes the sign of life that a report is.
func (l *leader) reportedLiveness(machine *cluster.Machine, r *protocol.Heartbeat, answered bool) {
	if !machine.Agent.Heard || machine.Agent.LeaseExpired {
		machine.Agent.Heard, machine.Agent.LeaseExpired = true, false
		machine.IdleSince = l.n.now
		l.CommandsPending(machine) // what was to be ordered waited for a sign of life
	}
	if confirmed := r.FencingToken == l.n.lease.term; confirmed != machine.Agent.TokenConfirmed {
		machine.Agent.TokenConfirmed = confirmed
		l.plan = true
	}
	machine.Agent.LastHeartbeat = l.n.now
	if answered {
		machine.Agent.AnsweredAt = l.n.now
	} else {
		machine.Agent.UnseenAnswers = 0 // it has answered a call
	}
	if !l.cluster.NotReceiving(machine) {
		machine.Agent.FailedProbes = 0
	}
}
