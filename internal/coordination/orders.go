package coordination

import (
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// sendSoon marks a machine as having orders that should not wait for a report.
func (l *leader) sendSoon(m *machine) {
	if !m.queuedDirect {
		m.queuedDirect = true
		l.directQueue = append(l.directQueue, m)
	}
}

// orders lists what a worker should do: forget first, for a task may come back
// to a machine that still holds its old attempt, then stop, then start.
func (l *leader) orders(m *machine, inReply bool) []protocol.Command {
	var cmds []protocol.Command
	if m.tokenConfirmed {
		for _, t := range m.exited {
			if l.reapable(m, t) && l.mayForget(m, t) {
				cmds = append(cmds, protocol.Command{Op: protocol.OpForget, Task: t.Task, Attempt: t.Attempt})
			}
		}
	}
	for _, k := range m.strays {
		cmds = append(cmds, protocol.Command{Op: protocol.OpStop, Task: protocol.TaskName(k.job, k.index), Attempt: k.attempt})
	}
	m.strays = m.strays[:0]
	list := sortedAttempts(m)
	for _, c := range list {
		if !c.stop || !c.sent || c.loaded && c.state == "" {
			continue // what a predecessor placed is stopped once a report shows it
		}
		if c.state == "" && (c.pinned || c.direct > 0) {
			// The lost start may yet arrive. Once the worker holds the attempt,
			// a late copy of it does nothing: so start it and end it at once.
			cmds = append(cmds, l.startOrder(c, inReply))
		}
		if inReply || l.n.now.Sub(c.stopSent) > tuning.StopResend {
			c.stopSent = l.n.now
			cmds = append(cmds, protocol.Command{Op: protocol.OpStop, Task: protocol.TaskName(c.j.id, c.key.index), Attempt: c.key.attempt, GraceS: c.grace})
		}
	}
	for _, c := range list {
		if c.stop || !c.committed || c.state != "" || c.loaded {
			continue
		}
		if c.j.spec.Gang() && (len(c.j.dirty) > 0 || c.j.writing) {
			continue // not every task's place is written yet
		}
		if !inReply && (c.direct > 0 || c.inReply || !l.n.cfg.Operator.DirectStarts) {
			continue
		}
		if inReply && c.direct > 0 && l.n.now.Sub(c.directAt) < tuning.OrderOnWay {
			continue // the report was sent before the order came
		}
		if m.cordoned || m.deleting {
			l.stop(c, 0)
			continue
		}
		cmds = append(cmds, l.startOrder(c, inReply))
	}
	if len(cmds) > tuning.OrdersAtOnce {
		cmds = cmds[:tuning.OrdersAtOnce]
	}
	for _, cmd := range cmds {
		l.recovery.Ordered(cmd.Op)
	}
	return cmds
}

func (l *leader) startOrder(c *taskAttempt, inReply bool) protocol.Command {
	l.n.log.Debug("start", "job", c.j.id, "task", c.key.index, "attempt", c.key.attempt, "machine", c.m.id, "direct", !inReply)
	if !c.sent {
		l.n.metrics.Starts++
		l.n.metrics.WaitSeconds = append(l.n.metrics.WaitSeconds, l.n.now.Sub(c.j.at).Seconds())
	}
	c.sent = true
	if inReply {
		c.inReply = true
	}
	c.m.useImage(c.j.spec, l.kind(c.m))
	return protocol.Command{Op: protocol.OpStart, Task: protocol.TaskName(c.j.id, c.key.index), Attempt: c.key.attempt}
}

// reapable says whether an exited attempt may be forgotten: what it achieved
// is stored, and no late start of it can arrive.
func (l *leader) reapable(m *machine, t protocol.TaskReport) bool {
	id, index, _ := protocol.SplitTask(t.Task)
	key := taskKey{id, index, t.Attempt}
	if m.pins[key] || m.attempts[key] != nil || l.unreadable[id] {
		return false
	}
	j := l.jobs[id]
	if j == nil || index >= len(j.tasks) {
		return true
	}
	return t.Cause != protocol.CauseDone || !j.writing && !j.dirty[j.recordOf(index)]
}

// mayForget says whether a worker is to be told to forget an exited attempt: not again
// while it may have yet to report that it has, unless the task is to start there anew.
func (l *leader) mayForget(m *machine, t protocol.TaskReport) bool {
	id, index, _ := protocol.SplitTask(t.Task)
	key := taskKey{id, index, t.Attempt}
	for other := range m.attempts {
		if other.job == id && other.index == index {
			return true
		}
	}
	if l.n.now.Sub(m.forgetSent[key]) < tuning.StopResend {
		return false
	}
	m.forgetSent[key] = l.n.now
	return true
}

// sendDirect sends orders that should not wait for the next report.
func (l *leader) sendDirect() {
	if !l.n.mayAct() {
		return
	}
	now := l.n.now
	list := l.directQueue
	l.directQueue = nil
	for _, m := range list {
		m.queuedDirect = false
		if m.deleting || l.machines[m.id] != m || !m.reported {
			continue
		}
		if m.orderInFlight || m.address == "" || now.Before(m.directAt) || !l.reportedLately(m) || !l.mayCall(false) {
			l.sendSoon(m)
			continue
		}
		if cmds := l.orders(m, false); len(cmds) > 0 {
			l.direct(m, cmds)
		}
	}
}

// presentToken shows the token to a worker with tasks that has not reported to
// this leader, if there is time: most of them report by themselves.
func (l *leader) presentToken(m *machine) {
	if !m.reported && m.incarnation > 0 && !m.orderInFlight && !m.deleting && m.address != "" && !l.n.now.Before(m.directAt) && l.mayCall(true) {
		l.direct(m, nil)
	}
}

func (l *leader) direct(m *machine, cmds []protocol.Command) {
	var starts []*taskAttempt
	for _, cmd := range cmds {
		if cmd.Op != protocol.OpStart {
			continue
		}
		id, index, _ := protocol.SplitTask(cmd.Task)
		if c := m.attempts[taskKey{id, index, cmd.Attempt}]; c != nil {
			c.direct++
			c.directAt = l.n.now
			starts = append(starts, c)
		}
	}
	m.orderInFlight = true
	body := protocol.Orders{Token: l.n.lease.term, Incarnation: m.incarnation, Commands: cmds}
	l.call(m, "POST", protocol.PathOrders, body, func(status int, body []byte) {
		m.orderInFlight = false
		for _, c := range starts {
			c.direct--
			if status != 200 && status != 409 {
				// It may arrive at any later time while session and token match.
				c.pinned = true
				m.pins[c.taskKey()] = true
			}
		}
		if status != 200 && status != 409 {
			m.unseenAnswers = max(m.unseenAnswers, 1)
			m.directAt = l.n.now.Add(tuning.StopResend)
			switch {
			case !m.reported:
				m.directAt = l.n.now.Add(l.silence()) // others have their turn
			case len(m.attempts) > 0:
				l.sendSoon(m)
			}
			return
		}
		l.takeAnswer(m, body)
		if status == 409 {
			m.directAt = l.n.now.Add(tuning.StopResend)
			l.sendSoon(m)
		}
	})
}

// takeAnswer takes the report that a worker gave as an answer.
func (l *leader) takeAnswer(m *machine, body []byte) {
	r, err := protocol.ParseReport(body)
	if err != nil || r.Machine != m.id {
		l.n.log.Error("a worker's answer is no report of its own", "machine", m.id, "error", err)
		return
	}
	if r.Token > l.n.lease.term {
		l.refuseHigherToken(r)
		return
	}
	l.report(r, false)
}
