package coordination

import (
	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// report takes a worker's newest message. answered: it came as a report and
// will be answered with 200, which renews the worker's lease. ok is false if
// the message is older than what is known.
func (l *leader) report(r *protocol.Report, answered bool) (commands []protocol.Command, ok bool) {
	if l.autoscaler.Deleted(r.Machine) {
		return nil, false // what is deleted can only have sent this before
	}
	m := l.cluster.EnsureMachine(r.Machine, r.Address, r.Type, r.Zone, r.Spot)
	if !r.Newer(m.Agent.Incarnation, m.Agent.Sequence) {
		return nil, false
	}
	differences := l.compare(r, answered)
	l.reportedIncarnation(m, r)
	l.reportedLiveness(m, r, answered)
	l.checkedTokens(m)
	if m.Record == nil && m.Agent.TokenConfirmed {
		// One that has not shown this leader's token may be gone: a late duplicate
		// of an old report can come at any time.
		l.RecordMachine(m)
	}
	if r.NoticeS != nil && !m.SpotNotice {
		m.SpotNotice = true
		l.plan = true
		l.Drain(m)
	}
	l.resolve(m, r, differences)
	if m.Agent.TokenConfirmed {
		l.recovery.Known(m.ID)
	}
	if answered {
		m.CountUnseenAnswers(r)
		commands = l.orders(m, true)
	}
	return commands, true
}

// reportedIncarnation takes the incarnation and sequence number of a report. A newer one
// has forgotten every attempt of an older one.
func (l *leader) reportedIncarnation(m *cluster.Machine, r *protocol.Report) {
	if r.Incarnation > m.Agent.Incarnation {
		m.Delivery.Pinned = map[cluster.AttemptID]bool{}
		if m.Agent.TokenConfirmed && l.n.now.Sub(m.Agent.AnsweredAt) < config.Seconds(l.n.cfg.Cluster.Workers.LeaseS) {
			// Its lease ran out although its reports were answered all the time.
			m.Agent.UnseenAnswers = tuning.MissedAnswers
		}
	}
	m.Agent.Incarnation, m.Agent.Sequence = r.Incarnation, r.Sequence
}

// reportedLiveness notes the sign of life that a report is.
func (l *leader) reportedLiveness(m *cluster.Machine, r *protocol.Report, answered bool) {
	if !m.Agent.Heard || m.Agent.LeaseExpired {
		m.Agent.Heard, m.Agent.LeaseExpired = true, false
		m.IdleSince = l.n.now
		l.sendSoon(m) // what was to be ordered waited for a sign of life
	}
	if confirmed := r.Token == l.n.lease.term; confirmed != m.Agent.TokenConfirmed {
		m.Agent.TokenConfirmed = confirmed
		l.plan = true
	}
	m.Agent.LastHeartbeat = l.n.now
	if answered {
		m.Agent.AnsweredAt = l.n.now
	} else {
		m.Agent.UnseenAnswers = 0 // it has answered a call
	}
	if !l.cluster.NotReceiving(m) {
		m.Agent.FailedProbes = 0
	}
}

// exited decides what follows from the end of an attempt.
func (l *leader) exited(m *cluster.Machine, c *cluster.Attempt, t protocol.TaskReport) {
	j := c.Job
	l.n.log.Debug("task exited", "job", j.ID, "task", c.Key.Index, "attempt", c.Key.Number, "machine", m.ID, "cause", t.Cause, "saved", t.Saved)
	if j.Spec.Service() && (t.Cause == protocol.CauseDone || t.Cause == protocol.CauseError) && l.replicaEnded(c) {
		return
	}
	switch t.Cause {
	case protocol.CauseDone, protocol.CauseStopped, protocol.CauseGangBroken, protocol.CauseGangTimeout:
	case protocol.CauseError:
		j.Failures.Machines[m.ID] = true
		j.Failures.AvoidUntil[m.ID] = l.n.now.Add(tuning.AvoidFailed)
		if len(j.Failures.Machines) >= tuning.JobErrors {
			// It fails everywhere: the job is to blame, not the machines.
			// It goes on trying, ever more rarely, on what is free: it must not
			// keep sound work of lower priority from its machines for ever.
			// The replicas of a service have pauses of their own.
			if j.Spec.Service() {
				clear(j.Failures.Machines)
			} else {
				j.RetryAt = l.n.now.Add(tuning.ErrorPause << min(j.Failures.Attributed, tuning.ErrorDoublings))
				j.Failures.Attributed++
			}
			for _, other := range l.cluster.Machines {
				delete(other.FailedJobs, j.ID)
			}
			clear(j.Failures.AvoidUntil)
			return
		}
		m.FailedJobs[j.ID] = true
		if len(m.FailedJobs) >= tuning.MachineErrors && !m.Quarantined {
			m.Quarantined = true
			l.n.log.Info("machine distrusted", "machine", m.ID)
			l.Drain(m)
		}
	case protocol.CauseNoRoom, protocol.CauseBusy:
		j.Failures.AvoidUntil[m.ID] = l.n.now.Add(tuning.AvoidFor)
	default:
		// no_such, or a cause of a later version: try again, but not at once.
		j.RetryAt = l.n.now.Add(tuning.RetryPause * 8)
	}
}
