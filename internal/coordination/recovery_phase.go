package coordination

import (
	"github.com/gappond/gappond/internal/coordination/reconcile"
	"github.com/gappond/gappond/internal/tuning"
)

// beginRecovery begins to follow the recovery, when all records are read: what is found
// and ordered until every agent that the records name is known or its lease has expired.
func (l *leader) beginRecovery() {
	if !l.n.cfg.Operator.RecoveryPhase && !l.restoreMonitor.HasMarker() {
		return
	}
	expiry := l.agents.UnansweredLeaseExpiresAt().Add(tuning.MachineSweepInterval)
	l.recovery.Begin(l.n.now, expiry, l.agents.StoredAttempts())
	s := l.recovery.Summary()
	l.n.log.Info("recovery begins", "term", l.n.election.Term(), "workers", s.RecordedAgents, "stored", s.RecordedAttempts, "jobs", len(l.cluster.Jobs), "until", expiry.Sub(l.n.now).Seconds())
}

// tickRecovery ends the phase when it is time.
func (l *leader) tickRecovery() {
	if !l.recovery.Tick(l.n.now) {
		return
	}
	l.schedulingRequested = true // what was held may start
	s := l.recovery.Summary()
	attributes := []any{"term", l.n.election.Term(), "reason", string(s.Reason), "seconds", s.Ended.Sub(s.Began).Seconds(),
		"workers", s.RecordedAgents, "silent", s.SilentAgents, "starts", s.Commands.Starts, "stops", s.Commands.Stops, "forgets", s.Commands.Forgets}
	for class, n := range s.Classes {
		attributes = append(attributes, reconcile.Class(class).String(), n)
	}
	l.n.log.Info("recovery ends", attributes...)
}
