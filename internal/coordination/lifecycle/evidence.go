package lifecycle

import (
	"strings"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
)

// Evidence is the reason why an attempt counts as gone.
type Evidence uint8

// The kinds of evidence.
const (
	// StartNotSent: no start of the attempt was sent.
	StartNotSent Evidence = iota
	// ExitReported: the agent reports the attempt as exited.
	ExitReported
	// AbsenceReported: a heartbeat that proves it lacks the attempt.
	AbsenceReported
	// IncarnationEnded: the agent shows a newer incarnation than the attempt's.
	IncarnationEnded
	// LeaseExpired: the agent's lease has certainly expired.
	LeaseExpired
	// MachineDeleted: the cloud has confirmed the deletion of the machine.
	MachineDeleted

	// EvidenceKinds is the number of kinds.
	EvidenceKinds = int(MachineDeleted) + 1
)

var evidenceNames = [EvidenceKinds]string{"start_not_sent", "exit_reported", "absence_reported", "incarnation_ended", "lease_expired", "machine_deleted"}

// String returns the name of the kind in logs and metrics.
func (e Evidence) String() string { return evidenceNames[e] }

// Counters counts the attempts that a controller has removed as gone, by evidence, over all its terms.
type Counters struct {
	GoneAttempts [EvidenceKinds]uint64
}

// LogGone logs which attempts of a machine count as gone although the agent has not reported their
// exit, and the age of what the leader knows of the agent.
func (m *Manager) LogGone(machine *cluster.Machine, attempts []*cluster.Attempt, evidence Evidence) {
	if len(attempts) == 0 {
		return
	}
	names := make([]string, len(attempts))
	for i, attempt := range attempts {
		names[i] = protocol.AttemptName(protocol.TaskName(attempt.Job.ID, attempt.Key.Index), attempt.Key.Number)
	}
	agent := &machine.Agent
	m.log.Info("tasks gone without reported exit", "evidence", evidence.String(), "machine", machine.ID, "incarnation", agent.Incarnation,
		"tasks", strings.Join(names, " "), "heard_ago", m.state.SecondsSince(agent.LastHeartbeat), "responded_ago", m.state.SecondsSince(agent.RespondedAt),
		"incarnation_ago", m.state.SecondsSince(agent.IncarnationSeenAt))
}
