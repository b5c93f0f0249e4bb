package cluster

import (
	"maps"
	"slices"
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// AgentState is what the leader knows about a machine's agent.
type AgentState struct {
	Incarnation    protocol.Incarnation // newest known incarnation
	Sequence       protocol.Sequence    // newest known sequence number within the incarnation
	Heard          bool                 // this leader has received a heartbeat of the agent
	Token          protocol.Term        // fencing token in the agent's newest heartbeat: the highest that it has seen
	TokenConfirmed bool                 // it is this leader's term or a newer token of this leader
	HigherToken    protocol.Term        // a token above this leader's term that the agent has reported
	LastHeartbeat  time.Time            // arrival of the newest heartbeat, alone or in the response to a call
	RespondedAt    time.Time            // last response to a heartbeat: the agent's lease starts no later
	// IncarnationSeenAt is the arrival of the first message of the newest incarnation.
	IncarnationSeenAt time.Time
	LeaseExpired      bool      // the lease has certainly expired since the last heartbeat
	LeaseExpiredAt    time.Time // when the expiry was detected

	EverResponded        bool // a heartbeat of the agent has got a response
	IneffectiveResponses int  // consecutive responses and commands that seem not to have arrived

	Exited []protocol.TaskStatus // exited attempts in the newest heartbeat
	// UnreadableSince is the time since which every heartbeat has contained entries that
	// name no task.
	UnreadableSince time.Time

	Probing        bool
	FailedProbes   int
	ProbeNotBefore time.Time
}

// CommandDelivery is the state of command delivery to an agent.
type CommandDelivery struct {
	Queued        bool          // in the leader's list of machines with commands to send
	InFlight      bool          // a call to the agent is in progress
	CallNotBefore time.Time     // earliest time of the next call
	Token         protocol.Term // fencing token of the messages to the agent if it is above the leader's term
	// DirectStarts holds, by attempt, the fencing token of its newest direct start, as long as the
	// agent has shown no higher one and so may execute that command or a copy of it.
	DirectStarts map[AttemptID]protocol.Term
	// ForgetSentAt is the time at which the agent was last told to forget an attempt that it
	// still reports.
	ForgetSentAt map[AttemptID]time.Time
	Orphans      []AttemptID // reported attempts of unknown jobs or tasks, which must be stopped
}

// ObserveToken records the fencing token that the agent's newest heartbeat shows. The agent refuses
// every direct start that was sent under a lower one, however late it arrives.
func (m *Machine) ObserveToken(token protocol.Term) {
	m.Agent.Token = token
	maps.DeleteFunc(m.Delivery.DirectStarts, func(_ AttemptID, sent protocol.Term) bool { return sent < token })
	for id, attempt := range m.Attempts {
		if _, accepted := m.Delivery.DirectStarts[id]; !accepted {
			attempt.MarkDirectStartRefused()
		}
	}
}

// ShowsExited reports whether the newest heartbeat contains the attempt as exited.
func (m *Machine) ShowsExited(key AttemptID) bool {
	name := protocol.TaskName(key.Job, key.Index)
	return slices.ContainsFunc(m.Agent.Exited, func(status protocol.TaskStatus) bool {
		return status.Attempt == key.Number && status.Task == name
	})
}

// CountIneffectiveResponses counts a response as ineffective if the next heartbeat does not
// show its effect: this leader's fencing token, or the attempts whose starts it contained.
// It resets the count if the heartbeat shows such attempts and nothing is missing.
func (m *Machine) CountIneffectiveResponses(heartbeat *protocol.Heartbeat) {
	ineffective, effective := m.Agent.EverResponded && !m.Agent.TokenConfirmed, false
	for _, attempt := range m.Attempts {
		if !attempt.StartInResponse {
			continue
		}
		attempt.StartInResponse = false
		if heartbeat.HasAttempt(protocol.TaskName(attempt.Job.ID, attempt.Key.Index), attempt.Key.Number) {
			effective = true
		} else {
			ineffective = true
		}
	}
	switch {
	case ineffective:
		m.Agent.IneffectiveResponses++
	case effective:
		m.Agent.IneffectiveResponses = 0
	}
	m.Agent.EverResponded = true
}
