package coordination

import (
	"github.com/gappond/gappond/internal/coordination/reconcile"
	"github.com/gappond/gappond/internal/tuning"
)

// beginRecovery begins the recovery phase, after all records are loaded, if the operator's
// properties enable it or the records hold a restore marker. The phase counts the commands sent and
// the differences between the records and what the agents report. It lasts until every agent that
// the records name is accounted for or its lease has expired.
func (l *leader) beginRecovery() {
	if !l.n.cfg.Operator.RecoveryPhase && !l.restoreMonitor.HasMarker() {
		return
	}
	expiry := l.agents.UnansweredLeaseExpiresAt().Add(tuning.MachineSweepInterval)
	l.recovery.Begin(l.n.now, expiry, l.agents.StoredAttempts())
	s := l.recovery.Summary()
	l.n.log.Info("recovery begins", "term", l.n.election.Term(), "workers", s.RecordedAgents, "stored", s.RecordedAttempts, "jobs", len(l.cluster.Jobs), "until", expiry.Sub(l.n.now).Seconds())
}

// tickRecovery ends the recovery phase when one of its conditions is met.
func (l *leader) tickRecovery() {
	if !l.recovery.Tick(l.n.now) {
		return
	}
	l.schedulingRequested = true // starts that were withheld are now allowed
	s := l.recovery.Summary()
	attributes := []any{"term", l.n.election.Term(), "reason", string(s.Reason), "seconds", s.Ended.Sub(s.Began).Seconds(),
		"workers", s.RecordedAgents, "silent", s.SilentAgents, "starts", s.Commands.Starts, "stops", s.Commands.Stops, "forgets", s.Commands.Forgets}
	for class, n := range s.Classes {
		attributes = append(attributes, reconcile.Class(class).String(), n)
	}
	l.n.log.Info("recovery ends", attributes...)
}
