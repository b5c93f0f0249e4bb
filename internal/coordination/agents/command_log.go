package agents

import (
	"strings"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
)

// Counters counts what a controller sends to agents and learns from them, over all its terms.
type Counters struct {
	CallCommands      uint64 // commands in calls
	ResponseCommands  uint64 // commands in responses to heartbeats
	RefusedCalls      uint64 // calls that agents refused because of the token or the incarnation
	NewerTokens       uint64 // newer tokens shown to agents
	ForgottenReported uint64 // attempts that an agent reported after it had forgotten them
	// New incarnations of known agents, by the message that showed them to the leader.
	IncarnationsInHeartbeats, IncarnationsInCalls uint64
}

// String returns the name of the path in the log.
func (p deliveryPath) String() string {
	if p == viaCall {
		return "call"
	}
	return "response"
}

// recordCommands counts and logs the commands of one message to an agent, with the token under which
// they are sent and the one that the agent has shown.
func (d *Delivery) recordCommands(machine *cluster.Machine, commands []protocol.Command, via deliveryPath) {
	if len(commands) == 0 {
		return
	}
	if via == viaCall {
		d.counters.CallCommands += uint64(len(commands))
	} else {
		d.counters.ResponseCommands += uint64(len(commands))
	}
	attributes := []any{"machine", machine.ID, "path", via.String(), "token", d.tokenFor(machine), "shown", machine.Agent.Token, "incarnation", machine.Agent.Incarnation}
	for _, kind := range []protocol.CommandKind{protocol.CommandStart, protocol.CommandStop, protocol.CommandForget} {
		if names := attemptNames(commands, kind); names != "" {
			attributes = append(attributes, string(kind), names)
			if kind == protocol.CommandStart {
				attributes = append(attributes, "lease_left", -d.state.SecondsSince(d.leases.ExpiresAt(machine)))
			}
		}
	}
	d.log.Info("commands sent", attributes...)
}

// attemptNames returns the tasks and attempts of the commands of a kind, separated by spaces.
func attemptNames(commands []protocol.Command, kind protocol.CommandKind) string {
	var names strings.Builder
	for _, command := range commands {
		if command.Kind != kind {
			continue
		}
		if names.Len() > 0 {
			names.WriteByte(' ')
		}
		names.WriteString(protocol.AttemptName(command.Task, command.Attempt))
	}
	return names.String()
}
