package coordination

import (
	"time"

	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
)

// agentsEnvironment implements agents.Environment.
type agentsEnvironment struct{ leaderEnvironment }

// TokenConfirmed implements agents.HeartbeatEnvironment.
func (ae agentsEnvironment) TokenConfirmed(machine *cluster.Machine) {
	ae.l.restoreMonitor.ObserveConfirmedToken(machine)
}

// HigherTokenSeen implements agents.HeartbeatEnvironment.
func (ae agentsEnvironment) HigherTokenSeen(heartbeat *protocol.Heartbeat) {
	ae.l.restoreMonitor.ObserveHigherToken(heartbeat)
}

// LogOnce implements agents.HeartbeatEnvironment.
func (ae agentsEnvironment) LogOnce(message, key string, attributes ...any) {
	ae.l.logOnce(message, key, attributes...)
}

// MayCommand implements agents.DeliveryEnvironment.
func (ae agentsEnvironment) MayCommand() bool { return ae.l.n.mayAct() }

// TaskStarting implements agents.DeliveryEnvironment.
func (ae agentsEnvironment) TaskStarting(attempt *cluster.Attempt) {
	ae.l.n.metrics.Starts++
	ae.l.n.metrics.StartWaitSeconds = append(ae.l.n.metrics.StartWaitSeconds, ae.l.n.now.Sub(attempt.Job.SubmittedAt).Seconds())
}

// Leads implements agents.LivenessEnvironment.
func (ae agentsEnvironment) Leads() bool { return ae.l.n.ownLeader == ae.l }

// AllPeersReachable implements agents.LivenessEnvironment.
func (ae agentsEnvironment) AllPeersReachable() bool {
	return len(ae.l.n.peers.ReachableNames()) == len(ae.l.n.cfg.Peers)
}

// ConfirmationGrace implements agents.LeaseEnvironment.
func (ae agentsEnvironment) ConfirmationGrace() time.Duration {
	return ae.l.n.election.LeaderGrace()
}
