package coordination

import (
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// report takes a worker's newest message. answered: it came as a report and
// will be answered with 200, which renews the worker's lease. ok is false if
// the message is older than what is known.
func (l *leader) report(r *protocol.Report, answered bool) (commands []protocol.Command, ok bool) {
	if _, gone := l.fleet.deleted[r.Machine]; gone {
		return nil, false // what is deleted can only have sent this before
	}
	m := l.machine(r.Machine, r.Address, r.Type, r.Zone, r.Spot)
	if !r.Newer(m.incarnation, m.sequence) {
		return nil, false
	}
	differences := l.compare(r, answered)
	l.reportedIncarnation(m, r)
	l.reportedLiveness(m, r, answered)
	l.checkedTokens(m)
	if m.record == nil && m.tokenConfirmed {
		// One that has not shown this leader's token may be gone: a late duplicate
		// of an old report can come at any time.
		l.queueMachineRecord(m)
	}
	if r.NoticeS != nil && !m.spotNotice {
		m.spotNotice = true
		l.plan = true
		l.drain(m)
	}
	l.resolve(m, r, differences)
	if m.tokenConfirmed {
		l.recovery.Known(m.id)
	}
	if answered {
		m.countUnseenAnswers(r)
		commands = l.orders(m, true)
	}
	return commands, true
}

// reportedIncarnation takes the incarnation and sequence number of a report. A newer one
// has forgotten every attempt of an older one.
func (l *leader) reportedIncarnation(m *machine, r *protocol.Report) {
	if r.Incarnation > m.incarnation {
		m.pins = map[taskKey]bool{}
		if m.tokenConfirmed && l.n.now.Sub(m.answered) < seconds(l.n.cfg.Cluster.Workers.LeaseS) {
			// Its lease ran out although its reports were answered all the time.
			m.unseenAnswers = tuning.MissedAnswers
		}
	}
	m.incarnation, m.sequence = r.Incarnation, r.Sequence
}

// reportedLiveness notes the sign of life that a report is.
func (l *leader) reportedLiveness(m *machine, r *protocol.Report, answered bool) {
	if !m.reported || m.lapsed {
		m.reported, m.lapsed = true, false
		m.idleSince = l.n.now
		l.sendSoon(m) // what was to be ordered waited for a sign of life
	}
	if confirmed := r.Token == l.n.lease.term; confirmed != m.tokenConfirmed {
		m.tokenConfirmed = confirmed
		l.plan = true
	}
	m.lastReport = l.n.now
	if answered {
		m.answered = l.n.now
	} else {
		m.unseenAnswers = 0 // it has answered a call
	}
	if !l.notReceiving(m) {
		m.probes = 0
	}
}

// countUnseenAnswers looks whether the last answer has shown an effect: the token, or
// the starts that were in it.
func (m *machine) countUnseenAnswers(r *protocol.Report) {
	lost, shown := m.lastAnswered && !m.tokenConfirmed, false
	for _, c := range m.attempts {
		if c.inReply {
			there := r.Shows(protocol.TaskName(c.j.id, c.key.index), c.key.attempt)
			lost, shown = lost || !there, shown || there
			c.inReply = false
		}
	}
	if lost {
		m.unseenAnswers++
	} else if shown {
		m.unseenAnswers = 0
	}
	m.lastAnswered = true
}

// exited decides what follows from the end of an attempt.
func (l *leader) exited(m *machine, c *taskAttempt, t protocol.TaskReport) {
	j := c.j
	l.n.log.Debug("task exited", "job", j.id, "task", c.key.index, "attempt", c.key.attempt, "machine", m.id, "cause", t.Cause, "saved", t.Saved)
	if j.spec.Service() && (t.Cause == protocol.CauseDone || t.Cause == protocol.CauseError) && l.replicaEnded(c) {
		return
	}
	switch t.Cause {
	case protocol.CauseDone, protocol.CauseStopped, protocol.CauseGangBroken, protocol.CauseGangTimeout:
	case protocol.CauseError:
		j.failures[m.id] = true
		j.avoid[m.id] = l.n.now.Add(tuning.AvoidFailed)
		if len(j.failures) >= tuning.JobErrors {
			// It fails everywhere: the job is to blame, not the machines.
			// It goes on trying, ever more rarely, on what is free: it must not
			// keep sound work of lower priority from its machines for ever.
			// The replicas of a service have pauses of their own.
			if j.spec.Service() {
				clear(j.failures)
			} else {
				j.retryAt = l.n.now.Add(tuning.ErrorPause << min(j.blamedCount, tuning.ErrorDoublings))
				j.blamedCount++
			}
			for _, other := range l.machines {
				delete(other.failed, j.id)
			}
			clear(j.avoid)
			return
		}
		m.failed[j.id] = true
		if len(m.failed) >= tuning.MachineErrors && !m.distrust {
			m.distrust = true
			l.n.log.Info("machine distrusted", "machine", m.id)
			l.drain(m)
		}
	case protocol.CauseNoRoom, protocol.CauseBusy:
		j.avoid[m.id] = l.n.now.Add(tuning.AvoidFor)
	default:
		// no_such, or a cause of a later version: try again, but not at once.
		j.retryAt = l.n.now.Add(tuning.RetryPause * 8)
	}
}
