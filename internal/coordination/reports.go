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
	if !r.Newer(m.session, m.seq) {
		return nil, false
	}
	l.reportedSession(m, r)
	l.reportedLiveness(m, r, answered)
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
	seen := make(map[taskKey]bool, len(r.Tasks))
	l.reportedTasks(m, r, seen)
	if m.tokenConfirmed {
		l.dropAbsent(m, seen, answered)
	}
	if answered {
		m.countUnseenAnswers(seen)
		commands = l.orders(m, true)
	}
	return commands, true
}

// reportedSession takes the session and sequence number of a report. A newer session
// has forgotten every attempt of an older one.
func (l *leader) reportedSession(m *machine, r *protocol.Report) {
	if r.Session > m.session {
		m.pins = map[taskKey]bool{}
		if m.tokenConfirmed && l.n.now.Sub(m.answered) < seconds(l.n.cfg.Cluster.Workers.LeaseS) {
			// Its lease ran out although its reports were answered all the time.
			m.unseenAnswers = tuning.MissedAnswers
		}
	}
	m.session, m.seq = r.Session, r.Seq
	for _, c := range sortedAttempts(m) {
		if c.session < r.Session {
			l.dropAttempt(c)
		}
	}
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

// reportedTasks takes the tasks of a report and adds their keys to those seen.
func (l *leader) reportedTasks(m *machine, r *protocol.Report, seen map[taskKey]bool) {
	m.exited = m.exited[:0]
	for _, t := range r.Tasks {
		id, index, valid := protocol.SplitTask(t.Task)
		if !valid {
			continue
		}
		key := taskKey{id, index, t.Attempt}
		seen[key] = true
		l.reportedTask(m, key, t)
	}
}

// dropAbsent drops the attempts that a report proves gone: the worker had them, or was
// told of them, and does not have them now.
func (l *leader) dropAbsent(m *machine, seen map[taskKey]bool, answered bool) {
	for _, c := range sortedAttempts(m) {
		switch {
		case seen[c.taskKey()] || !c.sent || c.direct > 0 || c.pinned:
		case c.inReply && !answered:
			// The start may be in an answer that the worker has yet to read.
		case c.state != "" || c.stop || c.loaded:
			l.dropAttempt(c)
		}
	}
}

// countUnseenAnswers looks whether the last answer has shown an effect: the token, or
// the starts that were in it.
func (m *machine) countUnseenAnswers(seen map[taskKey]bool) {
	lost, shown := m.lastAnswered && !m.tokenConfirmed, false
	for _, c := range m.attempts {
		if c.inReply {
			there := seen[c.taskKey()]
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

// reportedTask takes one task of a report.
func (l *leader) reportedTask(m *machine, key taskKey, t protocol.TaskReport) {
	c := m.attempts[key]
	j := l.jobs[key.job]
	if t.State != protocol.TaskExited {
		if c == nil {
			if l.unreadable[key.job] {
				m.idleSince = l.n.now // it runs on, so the machine is not idle
				return
			}
			if j == nil || key.index >= len(j.tasks) {
				m.strays = append(m.strays, key)
				return
			}
			// No record asks for this copy, yet it takes room: it must go
			// before its task starts anywhere else.
			c = l.addAttempt(j, key.index, key.attempt, m, m.session)
			c.committed, c.sent, c.stray = true, true, true
			l.stop(c, 0)
		}
		c.state = t.State
		c.sent = true
		if t.State == protocol.TaskRunning && c.running.IsZero() {
			c.running = l.n.now
			l.n.log.Debug("task runs", "job", c.j.id, "task", key.index, "attempt", key.attempt, "machine", m.id)
		}
		return
	}
	m.exited = append(m.exited, t)
	if t.Cause == protocol.CauseDone && j != nil && key.index < len(j.tasks) {
		l.setDone(j, key.index)
		clear(m.failed)
	}
	if c == nil || !m.tokenConfirmed && t.Cause != protocol.CauseDone {
		return
	}
	if c.pinned || c.direct > 0 {
		m.pins[key] = true
	}
	if c.state != protocol.TaskExited {
		c.state = protocol.TaskExited
		l.exited(m, c, t)
	}
	l.dropAttempt(c)
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
