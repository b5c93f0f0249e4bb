package cluster

import (
	"slices"
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// AgentState is what the leader knows of a machine's agent.
type AgentState struct {
	Incarnation    protocol.Incarnation // newest known
	Sequence       protocol.Sequence    // newest known within the incarnation
	Heard          bool                 // a heartbeat of it reached this leader
	TokenConfirmed bool                 // it has shown this leader's fencing token
	HigherToken    protocol.Term        // a token above this leader's term that it has shown
	LastHeartbeat  time.Time            // newest message of any kind
	RespondedAt    time.Time            // the last answered heartbeat: the lease counts from here at most
	LeaseExpired   bool                 // the lease has surely run out since
	LeaseExpiredAt time.Time            // when that was found

	EverResponded        bool // its last heartbeat was answered
	IneffectiveResponses int  // responses and commands in a row that seem not to have reached it

	Exited []protocol.TaskStatus // as last reported
	// UnreadableSince is since when every heartbeat has had entries that name no task.
	UnreadableSince time.Time

	Probing        bool
	FailedProbes   int
	ProbeNotBefore time.Time
}

// CommandDelivery is the state of the commands to an agent.
type CommandDelivery struct {
	Queued        bool // in the leader's list of machines with commands to send
	InFlight      bool // a direct call is under way
	CallNotBefore time.Time
	MustNotForget map[AttemptID]bool // attempts that must not be forgotten
	// ForgetSentAt is when the agent was last told to forget an attempt that it goes on
	// reporting.
	ForgetSentAt map[AttemptID]time.Time
	Orphans      []AttemptID // tasks of jobs that nobody knows
}

// ShowsExited says whether the last heartbeat had an attempt that has exited.
func (m *Machine) ShowsExited(key AttemptID) bool {
	name := protocol.TaskName(key.Job, key.Index)
	return slices.ContainsFunc(m.Agent.Exited, func(status protocol.TaskStatus) bool {
		return status.Attempt == key.Number && status.Task == name
	})
}

// CountIneffectiveResponses examines whether the last response has shown an effect in the next
// heartbeat: the token, or the starts that were in it.
func (m *Machine) CountIneffectiveResponses(heartbeat *protocol.Heartbeat) {
	unseen, seen := m.Agent.EverResponded && !m.Agent.TokenConfirmed, false
	for _, attempt := range m.Attempts {
		if !attempt.StartInResponse {
			continue
		}
		attempt.StartInResponse = false
		if heartbeat.HasAttempt(protocol.TaskName(attempt.Job.ID, attempt.Key.Index), attempt.Key.Number) {
			seen = true
		} else {
			unseen = true
		}
	}
	switch {
	case unseen:
		m.Agent.IneffectiveResponses++
	case seen:
		m.Agent.IneffectiveResponses = 0
	}
	m.Agent.EverResponded = true
}
