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

// HeartbeatEnvironment is what Heartbeats needs of the leader.
type HeartbeatEnvironment interface {
	// RequestScheduling makes the next scheduling cycle run soon.
	RequestScheduling()
	// RecordMachine requests that a machine's entry is written to its machine record.
	RecordMachine(machine *cluster.Machine)
	// TokenConfirmed is called for each heartbeat that is not stale. Agent.TokenConfirmed of the
	// machine tells whether the agent has shown this leader's fencing token.
	TokenConfirmed(machine *cluster.Machine)
	// HigherTokenSeen is called with a heartbeat whose fencing token is above this leader's term.
	HigherTokenSeen(heartbeat *protocol.Heartbeat)
	// Unreadable reports whether a record of a job cannot be read. The job's running tasks are
	// then left alone.
	Unreadable(job protocol.JobID) bool
	// LogOnce logs invalid input once for each key.
	LogOnce(message, key string, attributes ...any)
}

// HeartbeatOutcome tells how the controller dealt with an agent's heartbeat.
type HeartbeatOutcome int

// Outcomes of a heartbeat.
const (
	// NotLeading: this controller does not lead. The agent should try another one.
	NotLeading HeartbeatOutcome = iota
	// Accepted: the response renews the agent's lease and contains its commands.
	Accepted
	// Stale: a newer state of the agent is known, or its machine has been deleted.
	Stale
	// HigherToken: the agent has seen a fencing token above this leader's.
	HigherToken
	// LeadershipUnconfirmed: this controller cannot be sure that it still leads.
	LeadershipUnconfirmed
)

// HeartbeatResult is the result of processing an agent's heartbeat.
type HeartbeatResult struct {
	Outcome      HeartbeatOutcome
	FencingToken protocol.Term      // set if the outcome is Accepted
	Commands     []protocol.Command // set if the outcome is Accepted
}

// Heartbeats processes the state that agents report, in heartbeats and in responses to calls,
// and reconciles it with the stored records.
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
	forgotten  forgottenAttempts
	counters   *Counters
	// released holds, by evidence, the attempts that the heartbeat being processed proves gone.
	released [lifecycle.EvidenceKinds][]*cluster.Attempt
}

// source tells how an agent's state arrived.
type source int

const (
	fromHeartbeat source = iota // in a heartbeat, whose response renews the agent's lease
	fromCall                    // in the response to a call
)

// String returns the name of the source in the log.
func (s source) String() string {
	if s == fromCall {
		return "call"
	}
	return "heartbeat"
}

// RefuseHigherToken refuses a heartbeat whose fencing token is above all that this leader has sent to
// the agent, because the agent would ignore any response. It reports whether it refused the heartbeat.
func (h *Heartbeats) RefuseHigherToken(heartbeat *protocol.Heartbeat) (refused bool) {
	if heartbeat.FencingToken <= h.delivery.newestTokenOf(heartbeat.Machine) || h.fleet.Deleted(heartbeat.Machine) {
		return false
	}
	// Another controller has the right to command agents by now, or the store was restored.
	h.env.HigherTokenSeen(heartbeat)
	return true
}

// Accept processes a heartbeat. If the outcome is Accepted, the caller must respond to the agent
// with the commands.
func (h *Heartbeats) Accept(heartbeat *protocol.Heartbeat) HeartbeatResult {
	machine := h.process(heartbeat, fromHeartbeat)
	if machine == nil {
		return HeartbeatResult{Outcome: Stale}
	}
	machine.CountIneffectiveResponses(heartbeat)
	h.delivery.raiseToken(machine)
	commands := h.delivery.CommandsForResponse(machine)
	return HeartbeatResult{Outcome: Accepted, FencingToken: h.delivery.tokenFor(machine), Commands: commands}
}

// ObserveCallResult processes the heartbeat in an agent's response to a call.
func (h *Heartbeats) ObserveCallResult(machine *cluster.Machine, result CallResult) {
	if result.ParseError != nil || result.Heartbeat.Machine != machine.ID {
		h.log.Error("response to a call is not the agent's heartbeat", "machine", machine.ID, "error", result.ParseError)
		return
	}
	if result.StateLost {
		h.replaceMachine(machine, result.Heartbeat)
		return
	}
	if !h.RefuseHigherToken(result.Heartbeat) {
		h.process(result.Heartbeat, fromCall)
	}
}

// process applies an agent's state to the cluster model. It returns the agent's machine, or nil
// if a newer state is known or the machine has been deleted.
func (h *Heartbeats) process(heartbeat *protocol.Heartbeat, from source) *cluster.Machine {
	if h.fleet.Deleted(heartbeat.Machine) {
		return nil // the heartbeat was sent before the deletion
	}
	machine := h.state.EnsureMachine(heartbeat.Machine, heartbeat.Address, heartbeat.Type, heartbeat.Zone, heartbeat.Spot)
	if !heartbeat.NewerThan(machine.Agent.Incarnation, machine.Agent.Sequence) {
		return nil
	}
	if heartbeat.Incarnation == machine.Agent.Incarnation && heartbeat.FencingToken < machine.Agent.Token {
		h.replaceMachine(machine, heartbeat) // an agent never goes back to a lower token
		return nil
	}
	h.stored.startOutcomesKnown = from == fromHeartbeat
	differences := h.reconciler.Compare(&h.stored, h.term, heartbeat)
	h.observeIncarnation(machine, heartbeat, from)
	h.observeLiveness(machine, heartbeat, from)
	h.env.TokenConfirmed(machine)
	if machine.Record == nil && machine.Agent.TokenConfirmed {
		// Without this leader's token the heartbeat may be a late duplicate, which can
		// arrive at any time, and the machine may be gone.
		h.env.RecordMachine(machine)
	}
	h.observePreemptionNotice(machine, heartbeat)
	h.resolve(machine, heartbeat, differences)
	if machine.Agent.TokenConfirmed {
		h.recovery.AgentAccountedFor(machine.ID)
	}
	return machine
}

// replaceMachine requests the deletion of a machine whose agent has lost its state and begun again in
// the same incarnation. It executes late commands that it would have refused before, and only the
// deletion proves what it runs gone.
func (h *Heartbeats) replaceMachine(machine *cluster.Machine, heartbeat *protocol.Heartbeat) {
	if machine.Deleting || h.fleet.Deleted(machine.ID) {
		return
	}
	h.log.Error("agent has lost its state", "machine", machine.ID, "incarnation", heartbeat.Incarnation, "sequence", heartbeat.Sequence,
		"token", heartbeat.FencingToken, "known_sequence", machine.Agent.Sequence, "shown", machine.Agent.Token, "tasks", len(heartbeat.Tasks))
	h.fleet.DeleteMachine(machine, "its agent has lost its state")
}

// observePreemptionNotice has a spot machine drained that the cloud is about to preempt. If a newer
// heartbeat shows no notice any more, the drain has lost its reason, and ends like any other.
func (h *Heartbeats) observePreemptionNotice(machine *cluster.Machine, heartbeat *protocol.Heartbeat) {
	announced := heartbeat.PreemptionNoticeS != nil
	if announced == machine.SpotNotice {
		return
	}
	machine.SpotNotice = announced
	h.env.RequestScheduling()
	if announced {
		h.lifecycle.Drain(machine)
	}
}

// observeIncarnation stores the incarnation and sequence number of a heartbeat. A newer
// incarnation of an agent has forgotten every attempt of an older one.
func (h *Heartbeats) observeIncarnation(machine *cluster.Machine, heartbeat *protocol.Heartbeat, from source) {
	if heartbeat.Incarnation > machine.Agent.Incarnation {
		h.noteIncarnation(machine, heartbeat, from)
		clear(machine.Delivery.DirectStarts)
		if machine.Agent.TokenConfirmed && h.state.Now().Sub(machine.Agent.RespondedAt) < config.Seconds(h.state.Config.Cluster.Agents.LeaseS) {
			// The agent's lease expired although its heartbeats got responses all the time.
			machine.Agent.IneffectiveResponses = tuning.MaxIneffectiveResponses
		}
	}
	machine.Agent.Incarnation, machine.Agent.Sequence = heartbeat.Incarnation, heartbeat.Sequence
}

// noteIncarnation records when and how the first message of an agent's newer incarnation arrived.
func (h *Heartbeats) noteIncarnation(machine *cluster.Machine, heartbeat *protocol.Heartbeat, from source) {
	machine.Agent.IncarnationSeenAt = h.state.Now()
	if machine.Agent.Incarnation == 0 {
		return // the first message of the agent
	}
	if from == fromCall {
		h.counters.IncarnationsInCalls++
	} else {
		h.counters.IncarnationsInHeartbeats++
	}
	h.log.Info("agent began a new incarnation", "machine", machine.ID, "incarnation", heartbeat.Incarnation, "previous", machine.Agent.Incarnation,
		"source", from.String(), "token", heartbeat.FencingToken, "heard_ago", h.state.SecondsSince(machine.Agent.LastHeartbeat),
		"responded_ago", h.state.SecondsSince(machine.Agent.RespondedAt), "tasks", len(heartbeat.Tasks))
}

// observeLiveness records that a heartbeat has shown the agent to be alive.
func (h *Heartbeats) observeLiveness(machine *cluster.Machine, heartbeat *protocol.Heartbeat, from source) {
	now := h.state.Now()
	if !machine.Agent.Heard || machine.Agent.LeaseExpired {
		machine.Agent.Heard, machine.Agent.LeaseExpired = true, false
		machine.IdleSince = now
		h.delivery.Enqueue(machine) // its commands waited until the agent was heard
	}
	machine.ObserveToken(heartbeat.FencingToken)
	if confirmed := heartbeat.FencingToken >= h.term; confirmed != machine.Agent.TokenConfirmed {
		machine.Agent.TokenConfirmed = confirmed
		h.env.RequestScheduling()
	}
	machine.Agent.LastHeartbeat = now
	if from == fromHeartbeat {
		machine.Agent.RespondedAt = now
	} else {
		machine.Agent.IneffectiveResponses = 0 // the agent has responded to a call
	}
	if !h.state.NotReceiving(machine) {
		machine.Agent.FailedProbes = 0
	}
}
