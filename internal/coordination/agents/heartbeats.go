package agents

import (
	"log/slog"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/coordination/lifecycle"
	"github.com/gappond/gappond/internal/coordination/reconcile"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// HeartbeatEnvironment is what taking heartbeats needs of the leader.
type HeartbeatEnvironment interface {
	// RequestScheduling has the next scheduling cycle run soon.
	RequestScheduling()
	// RecordMachine has a machine's entry in its machine record written.
	RecordMachine(machine *cluster.Machine)
	// TokenConfirmed notes that an agent has shown this leader's fencing token.
	TokenConfirmed(machine *cluster.Machine)
	// HigherTokenSeen takes a heartbeat with a fencing token above this leader's term.
	HigherTokenSeen(heartbeat *protocol.Heartbeat)
	// Unreadable says whether a record of a job cannot be read, so that what runs of it is
	// left alone.
	Unreadable(job protocol.JobID) bool
	// LogOnce logs bad input once for each key.
	LogOnce(message, key string, attributes ...any)
}

// HeartbeatOutcome is what became of an agent's heartbeat.
type HeartbeatOutcome int

// Outcomes of a heartbeat.
const (
	// NotLeading: this controller does not lead, and the agent should turn to another.
	NotLeading HeartbeatOutcome = iota
	// Accepted: the response renews the agent's lease and has its commands.
	Accepted
	// Stale: something newer of the agent is known, or its machine is gone.
	Stale
	// HigherToken: the agent has seen a fencing token above this leader's.
	HigherToken
	// LeadershipUnconfirmed: this controller is not sure to lead still.
	LeadershipUnconfirmed
)

// HeartbeatResult is the answer to an agent's heartbeat.
type HeartbeatResult struct {
	Outcome      HeartbeatOutcome
	FencingToken protocol.Term      // if it was accepted
	Commands     []protocol.Command // the same
}

// Heartbeats takes what agents say of themselves, in heartbeats and in answers to calls, and
// reconciles it with what is recorded.
type Heartbeats struct {
	state      *cluster.State
	lifecycle  *lifecycle.Manager
	recovery   *reconcile.RecoveryPhase
	fleet      Fleet
	delivery   *Delivery
	env        HeartbeatEnvironment
	log        *slog.Logger
	term       protocol.Term
	stored     storedRecords
	reconciler reconcile.Reconciler
}

// source is the way on which an agent's state came.
type source int

const (
	fromHeartbeat source = iota // which is answered: the answer renews the agent's lease
	fromCall                    // in the answer to a call
)

// RefuseHigherToken refuses a heartbeat with a fencing token above this leader's: its agent
// would drop whatever it is answered.
func (h *Heartbeats) RefuseHigherToken(heartbeat *protocol.Heartbeat) (refused bool) {
	if heartbeat.FencingToken <= h.term {
		return false
	}
	// Somebody else has the right to command by now, or the store was restored.
	h.env.HigherTokenSeen(heartbeat)
	return true
}

// Accept takes a heartbeat. If it is accepted it has to be answered, with the commands.
func (h *Heartbeats) Accept(heartbeat *protocol.Heartbeat) HeartbeatResult {
	machine := h.process(heartbeat, fromHeartbeat)
	if machine == nil {
		return HeartbeatResult{Outcome: Stale}
	}
	machine.CountIneffectiveResponses(heartbeat)
	return HeartbeatResult{Outcome: Accepted, FencingToken: h.term, Commands: h.delivery.CommandsForResponse(machine)}
}

// ObserveCallResult takes the heartbeat that an agent gave as the answer to a call.
func (h *Heartbeats) ObserveCallResult(machine *cluster.Machine, result CallResult) {
	if result.ParseError != nil || result.Heartbeat.Machine != machine.ID {
		h.log.Error("answer to a call is not the agent's heartbeat", "machine", machine.ID, "error", result.ParseError)
		return
	}
	if !h.RefuseHigherToken(result.Heartbeat) {
		h.process(result.Heartbeat, fromCall)
	}
}

// process takes an agent's state and gives its machine; nil if something newer is known.
func (h *Heartbeats) process(heartbeat *protocol.Heartbeat, from source) *cluster.Machine {
	if h.fleet.Deleted(heartbeat.Machine) {
		return nil // what is deleted can only have sent this before
	}
	machine := h.state.EnsureMachine(heartbeat.Machine, heartbeat.Address, heartbeat.Type, heartbeat.Zone, heartbeat.Spot)
	if !heartbeat.Newer(machine.Agent.Incarnation, machine.Agent.Sequence) {
		return nil
	}
	h.stored.startOutcomesKnown = from == fromHeartbeat
	differences := h.reconciler.Compare(&h.stored, h.term, heartbeat)
	h.observeIncarnation(machine, heartbeat)
	h.observeLiveness(machine, heartbeat, from)
	h.env.TokenConfirmed(machine)
	if machine.Record == nil && machine.Agent.TokenConfirmed {
		// One that has not shown this leader's token may be gone: a late duplicate
		// of an old heartbeat can come at any time.
		h.env.RecordMachine(machine)
	}
	if heartbeat.PreemptionNoticeS != nil && !machine.SpotNotice {
		machine.SpotNotice = true
		h.env.RequestScheduling()
		h.lifecycle.Drain(machine)
	}
	h.resolve(machine, heartbeat, differences)
	if machine.Agent.TokenConfirmed {
		h.recovery.AgentAccountedFor(machine.ID)
	}
	return machine
}

// observeIncarnation takes the incarnation and sequence number of a heartbeat. A newer one
// has forgotten every attempt of an older one.
func (h *Heartbeats) observeIncarnation(machine *cluster.Machine, heartbeat *protocol.Heartbeat) {
	if heartbeat.Incarnation > machine.Agent.Incarnation {
		machine.Delivery.MustNotForget = map[cluster.AttemptID]bool{}
		if machine.Agent.TokenConfirmed && h.state.Now().Sub(machine.Agent.RespondedAt) < config.Seconds(h.state.Config.Cluster.Agents.LeaseS) {
			// Its lease expired although its heartbeats were answered all the time.
			machine.Agent.IneffectiveResponses = tuning.MaxIneffectiveResponses
		}
	}
	machine.Agent.Incarnation, machine.Agent.Sequence = heartbeat.Incarnation, heartbeat.Sequence
}

// observeLiveness notes the sign of life that a heartbeat is.
func (h *Heartbeats) observeLiveness(machine *cluster.Machine, heartbeat *protocol.Heartbeat, from source) {
	now := h.state.Now()
	if !machine.Agent.Heard || machine.Agent.LeaseExpired {
		machine.Agent.Heard, machine.Agent.LeaseExpired = true, false
		machine.IdleSince = now
		h.delivery.Enqueue(machine) // its commands waited for a sign of life
	}
	if confirmed := heartbeat.FencingToken == h.term; confirmed != machine.Agent.TokenConfirmed {
		machine.Agent.TokenConfirmed = confirmed
		h.env.RequestScheduling()
	}
	machine.Agent.LastHeartbeat = now
	if from == fromHeartbeat {
		machine.Agent.RespondedAt = now
	} else {
		machine.Agent.IneffectiveResponses = 0 // it has answered a call
	}
	if !h.state.NotReceiving(machine) {
		machine.Agent.FailedProbes = 0
	}
}
