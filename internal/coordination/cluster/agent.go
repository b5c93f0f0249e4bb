package cluster

import (
	"slices"
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// AgentSession is what the leader knows of a machine's agent.
type AgentSession struct {
	Incarnation    protocol.Incarnation // newest known
	Sequence       protocol.Sequence    // newest known within the incarnation
	Heard          bool                 // it has reported to this leader
	TokenConfirmed bool                 // it has shown this leader's fencing token
	HigherToken    protocol.Term        // a token above this leader's term that it has shown
	LastHeartbeat  time.Time            // newest message of any kind
	AnsweredAt     time.Time            // the last answered heartbeat: the lease counts from here at most
	LeaseExpired   bool                 // the lease has surely run out since
	LeaseExpiredAt time.Time            // when that was found

	LastAnswered  bool // its last heartbeat was answered
	UnseenAnswers int  // answers and commands in a row that seem not to have reached it

	Exited []protocol.TaskStatus // as last reported
	// UnreadableSince is since when every heartbeat has had entries that name no task.
	UnreadableSince time.Time

	Probing        bool
	FailedProbes   int
	ProbeNotBefore time.Time
}

// CommandDelivery is the way of commands to an agent.
type CommandDelivery struct {
	Queued    bool // in the leader's list of machines with commands to send
	InFlight  bool // a direct call is under way
	NotBefore time.Time
	Pinned    map[AttemptID]bool // attempts that must not be forgotten
	// ForgetSentAt is when the agent was last told to forget what it goes on reporting.
	ForgetSentAt map[AttemptID]time.Time
	Orphans      []AttemptID // tasks of jobs that nobody knows
}

// ShowsExited says whether the last report had an attempt that has exited.
func (m *Machine) ShowsExited(key AttemptID) bool {
	name := protocol.TaskName(key.Job, key.Index)
	return slices.ContainsFunc(m.Agent.Exited, func(t protocol.TaskStatus) bool { return t.Attempt == key.Number && t.Task == name })
}

// CountUnseenAnswers looks whether the last answer has shown an effect: the token, or
// the starts that were in it.
func (m *Machine) CountUnseenAnswers(r *protocol.Heartbeat) {
	lost, shown := m.Agent.LastAnswered && !m.Agent.TokenConfirmed, false
	for _, attempt := range m.Attempts {
		if attempt.StartInResponse {
			there := r.HasAttempt(protocol.TaskName(attempt.Job.ID, attempt.Key.Index), attempt.Key.Number)
			lost, shown = lost || !there, shown || there
			attempt.StartInResponse = false
		}
	}
	if lost {
		m.Agent.UnseenAnswers++
	} else if shown {
		m.Agent.UnseenAnswers = 0
	}
	m.Agent.LastAnswered = true
}
